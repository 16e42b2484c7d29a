"""Each test plants one fault in a history that is otherwise correct."""

import json

import pytest

from lynxlanding_bench.history import checker, history, reading, recorder, violation


def _records():
    """A correct history with every kind of record."""
    return [
        {
            "event": "domain",
            "time": 0.0,
            "domain": "f1",
            "groups": {"g": ["v1", "v2"], "h": ["v3"]},
        },
        {"event": "revision", "time": 0.5, "node": "n1", "revision": 1},
        {"event": "call", "time": 1.0, "id": "a", "node": "n1", "expected": "x0 x1 x2 "},
        {"event": "call", "time": 1.0, "id": "b", "node": "n1", "expected": "y0 y1 y2 "},
        {
            "event": "generate",
            "time": 1.1,
            "request_id": "ra",
            "endpoint": "e1",
            "group": "g",
            "arrived": 1.05,
        },
        {"event": "generate", "time": 1.1, "request_id": "rb", "endpoint": "e2", "group": "h"},
        {"event": "accepted", "time": 1.2, "change_id": "c1", "revision": 2},
        {"event": "revision", "time": 1.3, "node": "n1", "revision": 2},
        _answer("a", 2.0, request_id="ra", text="x0 x1 x2 "),
        _answer("b", 2.0, request_id="rb", text="y0 y1 y2 "),
        _booking("c", 3.0, "job-1"),
        {"event": "run", "time": 3.1, "request_id": "rc", "reference": "job-1", "endpoint": "s1"},
        _answer("c", 3.2, request_id="rc", reference="job-1"),
        _booking("d", 4.0, "job-2"),
        _answer("d", 4.1, result="refused", executed="no", request_id="rd"),
        {"event": "vm_down", "time": 5.0, "vm": "v2"},
        {"event": "leaving", "time": 5.0, "endpoint": "e2", "bound_s": 2.0},
        {"event": "planned_stop", "time": 6.0, "target": "n2"},
        {"event": "accepted_history", "time": 9.0, "changes": [[2, "c1"]]},
    ]


def _answer(identity, time, result="whole", executed=None, **fields):
    fields.update(event="answer", id=identity, time=time, result=result, executed=executed)
    return fields


def _booking(identity, time, reference, node="n1"):
    return {
        "event": "call",
        "time": time,
        "id": identity,
        "node": node,
        "reference": reference,
        "at_most_once": True,
    }


def _kinds(records):
    ordered = sorted(records, key=lambda record: record["time"])
    return [found.kind for found in checker.check(history.History(ordered))]


def _replace(records, identity, **fields):
    for record in records:
        if record["event"] == "answer" and record["id"] == identity:
            record.update(fields)
    return records


def test_correct_history_has_no_violation():
    assert _kinds(_records()) == []


def test_double_run():
    extra = {"event": "run", "time": 3.15, "request_id": "rx", "reference": "job-1"}
    assert _kinds([*_records(), extra]) == [violation.DOUBLE_RUN]


def test_swapped_answers():
    assert _kinds(_replace(_records(), "a", text="y0 y1 y2 ")) == [violation.SWAPPED_ANSWER]
    assert _kinds(_replace(_records(), "a", text="y0 ")) == [violation.SWAPPED_ANSWER]
    assert _kinds(_replace(_records(), "c", reference="job-2")) == [violation.SWAPPED_ANSWER]


def test_truncated_answer_taken_as_whole():
    assert _kinds(_replace(_records(), "a", text="x0 x1 ")) == [violation.TRUNCATED_AS_WHOLE]
    assert _kinds(_replace(_records(), "a", text="")) == [violation.TRUNCATED_AS_WHOLE]
    assert _kinds(_replace(_records(), "c", reference=None)) == [violation.TRUNCATED_AS_WHOLE]
    # A truncated answer that is known to be broken is correct.
    assert _kinds(_replace(_records(), "a", text="x0 ", result="broken")) == []


def test_wrong_answer():
    assert _kinds(_replace(_records(), "a", text="z0 ")) == [violation.WRONG_ANSWER]


def test_false_executed_no():
    run = {"event": "run", "time": 4.05, "request_id": "other", "reference": "job-2"}
    assert _kinds([*_records(), run]) == [violation.FALSE_EXECUTED_NO]
    refused = _replace(_records(), "a", result="refused", executed="no")
    assert _kinds(refused) == [violation.FALSE_EXECUTED_NO]


def test_refused_repeat_of_a_booking_that_ran():
    """Guards against ``no`` to the repeat of a booking whose first submission ran."""
    repeat = [
        _booking("c2", 3.5, "job-1"),
        _answer("c2", 3.6, result="refused", executed="no", request_id="rc2"),
    ]
    assert _kinds([*_records(), *repeat]) == [violation.FALSE_EXECUTED_NO]
    repeat[1]["executed"] = "unknown"
    assert _kinds([*_records(), *repeat]) == []


def test_unanswered_call():
    call = {"event": "call", "time": 7.0, "id": "z", "node": "n1", "expected": "q"}
    assert _kinds([*_records(), call]) == [violation.UNANSWERED]


def test_reverted_configuration():
    older = {"event": "revision", "time": 8.0, "node": "n1", "revision": 1}
    assert _kinds([*_records(), older]) == [violation.REVERTED_CONFIGURATION]
    moved = {"event": "accepted_history", "time": 9.5, "changes": [[3, "c1"]]}
    assert _kinds([*_records(), moved]) == [violation.REVERTED_CONFIGURATION]


def test_lost_and_duplicate_change():
    final = {"event": "accepted_history", "time": 9.5, "changes": [[2, "c2"]]}
    assert _kinds([*_records(), final]) == [violation.LOST_CHANGE]
    final = {"event": "accepted_history", "time": 9.5, "changes": [[2, "c1"], [3, "c1"]]}
    assert violation.DUPLICATE_CHANGE in _kinds([*_records(), final])


def test_vm_in_two_groups():
    groups = {"g": ["v1", "v2"], "h": ["v3", "v1"]}
    extra = {"event": "domain", "time": 4.5, "domain": "f1", "groups": groups}
    assert _kinds([*_records(), extra]) == [violation.VM_IN_TWO_GROUPS]
    extra = {"event": "domain", "time": 4.5, "domain": "f2", "groups": {"k": ["v2"]}}
    assert _kinds([*_records(), extra]) == [violation.VM_IN_TWO_GROUPS]


@pytest.mark.parametrize(("time", "kinds"), [(9.9, 0), (10.1, 1)])
def test_service_by_incomplete_group(time, kinds):
    """The VM is lost at 5.0 and the evidence may be 5 s old."""
    work = {"event": "generate", "time": time, "request_id": "r", "endpoint": "e9", "group": "g"}
    assert _kinds([*_records(), work]) == [violation.INCOMPLETE_GROUP_SERVED] * kinds


def test_repaired_group_may_serve():
    """Guards against a checker that blames a group for a VM that it no longer has."""
    repaired = {"event": "domain", "time": 7.0, "domain": "f1", "groups": {"g": ["v1", "v4"]}}
    work = {"event": "generate", "time": 12.0, "request_id": "r", "endpoint": "e9", "group": "g"}
    assert _kinds([*_records(), repaired, work]) == []


def _stopped_call(call_time, answer_time):
    return [
        {"event": "call", "time": call_time, "id": "s", "node": "n2", "expected": "s0 s1 "},
        _answer("s", answer_time, result="broken", request_id="rs"),
    ]


def test_stream_cut_in_planned_stop():
    assert _kinds([*_records(), *_stopped_call(5.9, 6.2)]) == [violation.CUT_IN_PLANNED_STOP]
    # The call ended before the stop began.
    assert _kinds([*_records(), *_stopped_call(5.5, 5.9)]) == []
    kill = {"event": "fault", "time": 6.1, "target": "n2", "kind": "kill"}
    assert _kinds([*_records(), *_stopped_call(5.9, 6.2), kill]) == []


def test_earlier_fault_does_not_excuse_a_cut():
    """Guards against a checker that ignores every cut at a node that once was killed."""
    earlier = [
        {"event": "fault", "time": 2.0, "target": "n2", "kind": "kill"},
        {"event": "recovered", "time": 3.0, "target": "n2"},
    ]
    records = [*_records(), *_stopped_call(5.9, 6.2), *earlier]
    assert _kinds(records) == [violation.CUT_IN_PLANNED_STOP]


def test_stream_cut_in_planned_stop_of_an_endpoint():
    records = [
        *_records(),
        {"event": "call", "time": 5.9, "id": "s", "node": "n1", "expected": "s0 s1 "},
        {"event": "generate", "time": 5.95, "request_id": "rs", "endpoint": "e3", "group": "h"},
        {"event": "planned_stop", "time": 6.0, "target": "e3"},
        _answer("s", 6.2, result="broken", request_id="rs"),
    ]
    assert _kinds(records) == [violation.CUT_IN_PLANNED_STOP]


@pytest.mark.parametrize(
    ("time", "arrived", "kinds"), [(6.9, 6.9, 0), (7.1, 7.1, 1), (7.1, 6.9, 0)]
)
def test_new_work_on_leaving_endpoint(time, arrived, kinds):
    """The endpoint leaves at 5.0 with a bound of 2 s; waiting in the engine's queue is no work."""
    work = {"event": "generate", "request_id": "r", "endpoint": "e2", "group": "h"}
    work.update(time=time, arrived=arrived)
    assert _kinds([*_records(), work]) == [violation.WORK_ON_LEAVING_ENDPOINT] * kinds


def test_undrained_endpoint_may_work():
    records = [
        *_records(),
        {"event": "staying", "time": 8.0, "endpoint": "e2"},
        {"event": "generate", "time": 9.0, "request_id": "r", "endpoint": "e2", "group": "h"},
    ]
    assert _kinds(records) == []


def test_unreadable_line_is_a_violation(tmp_path):
    """Guards against a fault that hides in a line that the checker skips."""
    path = tmp_path / "history.jsonl"
    writer = recorder.Recorder(path, "caller")
    writer.record("revision", node="n1", revision=1)
    writer.close()
    with open(path, "a", encoding="utf-8") as file:
        file.write(json.dumps({"event": "run"})[:9] + "\n")
    read = reading.read([path])
    assert len(read.records) == 1
    assert [found.kind for found in checker.check(read)] == [violation.UNREADABLE_RECORD]
