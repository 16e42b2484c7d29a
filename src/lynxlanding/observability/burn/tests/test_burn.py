"""Burn over a known history; the expected numbers are worked out by hand in the comments."""

import pytest

from lynxlanding.errors import platform as platform_errors
from lynxlanding.observability import request_summary
from lynxlanding.observability.burn import (
    burn_actor,
    burn_rates,
    counts,
    group_observation,
    objectives,
    reporter,
    slo_object,
    totals,
    writer,
)
from lynxlanding.observability.burn.tests import summaries
from lynxlanding.settings import daemon_settings
from lynxlanding.store import memory_store

NOW = 20_000 * 86_400 + 43_200.0
KEY = (objectives.WHOLE_ANSWER, "service", "desk")
SETTINGS = daemon_settings.ObjectivesSettings(whole_answer={"target": 0.99})


def _counts(*events):
    made = counts.BurnCounts()
    for age_s, good, bad in events:
        made.add(NOW - age_s, KEY, good, bad)
    return made


def _document(*events):
    return _counts(*events).to_document()


@pytest.fixture
def store():
    return memory_store.MemoryObjectStore()


@pytest.fixture
def actor():
    reference = burn_actor.BurnActor.start(SETTINGS, "east")
    yield reference.proxy()
    reference.stop()


def _record(actor, count, result=request_summary.WHOLE, now=NOW):
    for _ in range(count):
        actor.record_request(summaries.make(result, is_stream=False, tokens=0), now).get()


def _total(store, node="n1"):
    total = totals.BurnTotals(NOW + 2 * 86_400)
    for document in slo_object.documents(store.get(slo_object.KIND, node).value):
        total.add(document)
    return total.sum(KEY, 86_400, 0, 1 << 40)


def test_known_history(store, actor):
    """Nodes n2 (gone, with two incarnations) and n3, reported by n1."""
    value = slo_object.empty("n2")
    value = slo_object.with_part(value, "a", _document((3000, 0, 10)), NOW - 2900)
    value = slo_object.with_part(value, "b", _document((30, 100, 0)), NOW - 20)
    store.create(slo_object.KIND, "n2", value)
    value = slo_object.with_part(
        slo_object.empty("n3"),
        "a",
        _document(
            (60, 90, 10),
            (1800, 100, 0),
            (7200, 300, 0),
            (2 * 86_400, 500, 0),
            (10 * 86_400, 1000, 0),
            (40 * 86_400, 0, 1000),
        ),
        NOW - 600,
    )
    store.create(slo_object.KIND, "n3", value)
    store.create(slo_object.INDEX_KIND, slo_object.INDEX_NAME, {"n2": 20_000, "n3": 20_000})
    own = writer.BurnWriter(store, "n1", actor)
    source = reporter.BurnReporter(store, "n1", actor, own, SETTINGS, clock=lambda: NOW)
    report = source.burn_report()
    (row,) = report["rows"]
    # The objective allows 0.01.
    # 5 min: 10 of 200 are bad: 0.05 / 0.01.
    assert row["burn"]["300"] == pytest.approx(5.0)
    # 1 h: 20 of 310 are bad.
    assert row["burn"]["3600"] == pytest.approx(6.4516, abs=1e-4)
    # 6 h: 20 of 610.
    assert row["burn"]["21600"] == pytest.approx(3.2787, abs=1e-4)
    # 3 d: 20 of 1110.
    assert row["burn"]["259200"] == pytest.approx(1.8018, abs=1e-4)
    # 30 d: 20 of 2110; the budget is 21.1, so 1 - 20 / 21.1 is left. The events 40 d ago are out.
    assert (row["good"], row["bad"]) == (2090, 20)
    assert row["budget_left"] == pytest.approx(0.05213, abs=1e-5)
    # 6 h and 3 d are above 1, but neither pair of shorter windows reaches its limit.
    assert row["alert"] == "ticket"
    late = {node["node"]: node["is_late"] for node in report["nodes"]}
    assert late == {"n1": False, "n2": False, "n3": True}


@pytest.mark.parametrize(
    ("events", "alert"),
    [
        # 20 of 100 bad in 5 min and in 1 h: burn 20 in both.
        ([(60, 80, 20)], "page"),
        # Bad events only in the last 5 min: 20 there, 20 / 2100 / 0.01 = 0.95 in 1 h.
        ([(60, 80, 20), (1800, 2000, 0)], ""),
        # 1 h: 100 / 1000 / 0.01 = 10, the same in 6 h; none in the last 5 min.
        ([(1800, 900, 100)], "page"),
    ],
)
def test_alerts_need_both_windows(events, alert):
    (row,) = burn_rates.calculate(_counts(*events), SETTINGS.targets(), NOW)
    assert row["alert"] == alert


def test_restart_keeps_earlier_counts(store, actor):
    """Guards against a report that forgets what a node counted before its restart."""
    _record(actor, 3)
    assert writer.BurnWriter(store, "n1", actor).write(NOW)
    actor.reset().get()
    _record(actor, 2)
    restarted = writer.BurnWriter(store, "n1", actor)
    assert restarted.write(NOW + 60)
    assert restarted.write(NOW + 120)
    assert _total(store) == (5, 0)


def test_lost_answer_counts_nothing_twice(store, actor):
    _record(actor, 3)
    own = writer.BurnWriter(store, "n1", actor)
    store.responses_to_lose = 1
    assert not own.write(NOW)
    _record(actor, 1)
    assert own.write(NOW + 60)
    assert _total(store) == (4, 0)


def test_unavailable_store_loses_nothing(store, actor):
    own = writer.BurnWriter(store, "n1", actor)
    _record(actor, 3)
    store.unavailable = True
    assert not own.write(NOW)
    store.unavailable = False
    assert own.write(NOW + 60)
    assert _total(store) == (3, 0)


def test_paused_process_beside_its_replacement(store, actor):
    """Guards against two processes of one node that overwrite each other's counts."""
    paused = writer.BurnWriter(store, "n1", actor)
    _record(actor, 3)
    assert paused.write(NOW)
    reference = burn_actor.BurnActor.start(SETTINGS, "east")
    try:
        replacement = reference.proxy()
        _record(replacement, 5)
        assert writer.BurnWriter(store, "n1", replacement).write(NOW + 60)
        _record(actor, 1)
        assert paused.write(NOW + 120)
        assert _total(store) == (9, 0)
    finally:
        reference.stop()


def test_folded_process_goes_on_as_a_new_incarnation(store, actor):
    """Guards against counts that are added a second time after a pause of more than a day."""
    paused = writer.BurnWriter(store, "n1", actor)
    _record(actor, 3)
    assert paused.write(NOW)
    later = NOW + slo_object.FOLD_AFTER_S + 60
    reference = burn_actor.BurnActor.start(SETTINGS, "east")
    try:
        replacement = reference.proxy()
        _record(replacement, 5, now=later)
        assert writer.BurnWriter(store, "n1", replacement).write(later)
        assert paused.write(later + 60)
        _record(actor, 2, now=later + 90)
        assert paused.write(later + 120)
        assert _total(store) == (10, 0)
    finally:
        reference.stop()


def test_store_calls_in_steady_state(store, actor):
    """Guards against a report that costs more than one write a minute for each node."""
    own = writer.BurnWriter(store, "n1", actor)
    own.write(NOW)
    before = dict(store.call_counts)
    for minute in range(1, 11):
        own.write(NOW + 60 * minute)
    assert store.call_counts["update"] - before.get("update", 0) == 10
    assert store.call_counts["get"] == before["get"]


def test_document_round_trip():
    made = _counts((60, 90, 10), (1800, 1.2345678, 0.5))
    copy = counts.BurnCounts.from_document(made.to_document())
    assert copy.sum(KEY, 60, 0, 1 << 40) == (pytest.approx(91.235), 10.5)


def test_clock_that_was_set_back_keeps_the_object_small():
    """Guards against an object above 1 MB after a wrong clock."""
    made = _counts((60, 1, 0))
    made.add(NOW + 400 * 86_400, KEY, 1, 0)
    made.prune(NOW)
    assert len(str(made.to_document())) < 300


def test_group_seconds(actor):
    """4 groups for 10 s: one down, with 24 of its 32 accelerators stranded."""
    up = group_observation.GroupObservation("desk", "east", True, 32, 0)
    down = group_observation.GroupObservation("desk", "east", False, 32, 24)
    actor.record_groups([up, up, up, down], 10.0, NOW).get()
    made = counts.BurnCounts.from_document(actor.document(NOW).get())
    today = int(NOW // 86_400)
    # 30 of 40 group seconds; 10 * (96 + 8) usable and 10 * 24 stranded accelerator seconds.
    key = (objectives.GROUP_DOWNTIME, "service", "desk")
    assert made.sum(key, 86_400, today, today) == (30.0, 10.0)
    key = (objectives.STRANDED, "place", "east")
    assert made.sum(key, 86_400, today, today) == (1040.0, 240.0)


def test_unavailable_store_is_told(store, actor):
    store.unavailable = True
    own = writer.BurnWriter(store, "n1", actor)
    source = reporter.BurnReporter(store, "n1", actor, own, SETTINGS)
    with pytest.raises(platform_errors.StoreUnavailable):
        source.burn_report()


def test_index_registers_and_expires(store, actor):
    """Guards against reports that miss a node, and against objects that are never deleted."""
    store.create(
        slo_object.KIND,
        "gone",
        slo_object.with_part(
            slo_object.empty("gone"), "a", _document((0, 1, 0)), NOW - 40 * 86_400
        ),
    )
    store.create(
        slo_object.KIND,
        "back",
        slo_object.with_part(slo_object.empty("back"), "a", _document((0, 1, 0)), NOW - 60),
    )
    days = {"gone": 19_960, "back": 19_960, "n2": 19_999}
    store.create(slo_object.INDEX_KIND, slo_object.INDEX_NAME, days)
    own = writer.BurnWriter(store, "n1", actor)
    assert own.write(NOW)
    index = store.get(slo_object.INDEX_KIND, slo_object.INDEX_NAME).value
    assert index == {"n1": 20_000, "n2": 19_999}
    with pytest.raises(platform_errors.ObjectNotFound):
        store.get(slo_object.KIND, "gone")
    # A node that wrote but has not registered again yet keeps its counts.
    assert store.get(slo_object.KIND, "back")
