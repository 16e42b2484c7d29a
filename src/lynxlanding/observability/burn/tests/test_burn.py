"""Counting, storing and reporting of burn; comments derive the expected numbers by hand."""

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


def _make_counts(*events):
    burn_counts = counts.BurnCounts()
    for age_s, good, bad in events:
        burn_counts.add(NOW - age_s, KEY, good, bad)
    return burn_counts


def _make_document(*events):
    return _make_counts(*events).to_document()


@pytest.fixture
def store():
    return memory_store.MemoryObjectStore()


@pytest.fixture
def actor_proxy():
    actor_ref = burn_actor.BurnActor.start(SETTINGS, "east")
    yield actor_ref.proxy()
    actor_ref.stop()


def _record_requests(actor_proxy, count, result=request_summary.WHOLE, now=NOW):
    for _ in range(count):
        actor_proxy.record_request(summaries.make(result, is_stream=False, tokens=0), now).get()


def _sum_written(store, node="n1"):
    total = totals.BurnTotals(NOW + 2 * 86_400)
    for document in slo_object.all_counts(store.get(slo_object.KIND, node).value):
        total.add(document)
    return total.sum(KEY, 86_400, 0, 1 << 40)


def test_known_history(store, actor_proxy):
    """Node n1 reports the counts of n2 (stopped, with two incarnations) and n3 (late)."""
    value = slo_object.empty_value("n2")
    value = slo_object.with_part(value, "a", _make_document((3000, 0, 10)), NOW - 2900)
    value = slo_object.with_part(value, "b", _make_document((30, 100, 0)), NOW - 20)
    store.create(slo_object.KIND, "n2", value)
    value = slo_object.with_part(
        slo_object.empty_value("n3"),
        "a",
        _make_document(
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
    burn_writer = writer.BurnWriter(store, "n1", actor_proxy)
    burn_reporter = reporter.BurnReporter(
        store, "n1", actor_proxy, burn_writer, SETTINGS, clock=lambda: NOW
    )
    report = burn_reporter.burn_report()
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
    # 30 d: 20 of 2110; the budget is 21.1, so 1 - 20 / 21.1 is left. The events
    # 40 d ago are outside the period.
    assert (row["good"], row["bad"]) == (2090, 20)
    assert row["budget_left"] == pytest.approx(0.05213, abs=1e-5)
    # 6 h and 3 d are above 1, but neither pair of shorter windows reaches its threshold.
    assert row["alert"] == "ticket"
    is_late_by_node = {node["node"]: node["is_late"] for node in report["nodes"]}
    assert is_late_by_node == {"n1": False, "n2": False, "n3": True}


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
    (row,) = burn_rates.calculate(_make_counts(*events), SETTINGS.targets(), NOW)
    assert row["alert"] == alert


def test_counts_survive_restart(store, actor_proxy):
    """Guards against losing the counts from before a restart."""
    _record_requests(actor_proxy, 3)
    assert writer.BurnWriter(store, "n1", actor_proxy).write(NOW)
    actor_proxy.reset().get()
    _record_requests(actor_proxy, 2)
    restarted = writer.BurnWriter(store, "n1", actor_proxy)
    assert restarted.write(NOW + 60)
    assert restarted.write(NOW + 120)
    assert _sum_written(store) == (5, 0)


def test_lost_response_counts_nothing_twice(store, actor_proxy):
    _record_requests(actor_proxy, 3)
    burn_writer = writer.BurnWriter(store, "n1", actor_proxy)
    store.responses_to_lose = 1
    assert not burn_writer.write(NOW)
    _record_requests(actor_proxy, 1)
    assert burn_writer.write(NOW + 60)
    assert _sum_written(store) == (4, 0)


def test_unavailable_store_loses_no_counts(store, actor_proxy):
    burn_writer = writer.BurnWriter(store, "n1", actor_proxy)
    _record_requests(actor_proxy, 3)
    store.unavailable = True
    assert not burn_writer.write(NOW)
    store.unavailable = False
    assert burn_writer.write(NOW + 60)
    assert _sum_written(store) == (3, 0)


def test_paused_process_and_replacement_both_counted(store, actor_proxy):
    """Guards against two processes of one node overwriting each other's counts."""
    paused_writer = writer.BurnWriter(store, "n1", actor_proxy)
    _record_requests(actor_proxy, 3)
    assert paused_writer.write(NOW)
    actor_ref = burn_actor.BurnActor.start(SETTINGS, "east")
    try:
        replacement_proxy = actor_ref.proxy()
        _record_requests(replacement_proxy, 5)
        assert writer.BurnWriter(store, "n1", replacement_proxy).write(NOW + 60)
        _record_requests(actor_proxy, 1)
        assert paused_writer.write(NOW + 120)
        assert _sum_written(store) == (9, 0)
    finally:
        actor_ref.stop()


def test_merged_incarnation_continues_as_new_incarnation(store, actor_proxy):
    """Guards against double counting by a process that was paused for more than a day."""
    paused_writer = writer.BurnWriter(store, "n1", actor_proxy)
    _record_requests(actor_proxy, 3)
    assert paused_writer.write(NOW)
    later = NOW + slo_object.MERGE_AFTER_S + 60
    actor_ref = burn_actor.BurnActor.start(SETTINGS, "east")
    try:
        replacement_proxy = actor_ref.proxy()
        _record_requests(replacement_proxy, 5, now=later)
        assert writer.BurnWriter(store, "n1", replacement_proxy).write(later)
        assert paused_writer.write(later + 60)
        _record_requests(actor_proxy, 2, now=later + 90)
        assert paused_writer.write(later + 120)
        assert _sum_written(store) == (10, 0)
    finally:
        actor_ref.stop()


def test_store_calls_in_steady_state(store, actor_proxy):
    """Guards against more than one store call per node and write, which is one a minute."""
    burn_writer = writer.BurnWriter(store, "n1", actor_proxy)
    burn_writer.write(NOW)
    calls_before = dict(store.call_counts)
    for minute in range(1, 11):
        burn_writer.write(NOW + 60 * minute)
    assert store.call_counts["update"] - calls_before.get("update", 0) == 10
    assert store.call_counts["get"] == calls_before["get"]


def test_document_round_trip():
    burn_counts = _make_counts((60, 90, 10), (1800, 1.2345678, 0.5))
    copy = counts.BurnCounts.from_document(burn_counts.to_document())
    assert copy.sum(KEY, 60, 0, 1 << 40) == (pytest.approx(91.235), 10.5)


def test_prune_drops_future_buckets():
    """Guards against a stored object above 1 MB after the clock was set back."""
    burn_counts = _make_counts((60, 1, 0))
    burn_counts.add(NOW + 400 * 86_400, KEY, 1, 0)
    burn_counts.prune(NOW)
    assert len(str(burn_counts.to_document())) < 300


def test_group_seconds(actor_proxy):
    """Four groups over 10 s, one of them down with 24 of its 32 accelerators stranded."""
    up = group_observation.GroupObservation("desk", "east", True, 32, 0)
    down = group_observation.GroupObservation("desk", "east", False, 32, 24)
    actor_proxy.record_groups([up, up, up, down], 10.0, NOW).get()
    burn_counts = counts.BurnCounts.from_document(actor_proxy.document(NOW).get())
    today = int(NOW // 86_400)
    # 30 of 40 group seconds; 10 * (96 + 8) usable and 10 * 24 stranded accelerator seconds.
    key = (objectives.GROUP_DOWNTIME, "service", "desk")
    assert burn_counts.sum(key, 86_400, today, today) == (30.0, 10.0)
    key = (objectives.STRANDED, "place", "east")
    assert burn_counts.sum(key, 86_400, today, today) == (1040.0, 240.0)


def test_report_raises_when_store_unavailable(store, actor_proxy):
    store.unavailable = True
    burn_writer = writer.BurnWriter(store, "n1", actor_proxy)
    burn_reporter = reporter.BurnReporter(store, "n1", actor_proxy, burn_writer, SETTINGS)
    with pytest.raises(platform_errors.StoreUnavailable):
        burn_reporter.burn_report()


def test_index_registers_nodes_and_expires_old_ones(store, actor_proxy):
    """Guards against nodes missing from reports and against objects that are never deleted."""
    store.create(
        slo_object.KIND,
        "gone",
        slo_object.with_part(
            slo_object.empty_value("gone"), "a", _make_document((0, 1, 0)), NOW - 40 * 86_400
        ),
    )
    store.create(
        slo_object.KIND,
        "back",
        slo_object.with_part(
            slo_object.empty_value("back"), "a", _make_document((0, 1, 0)), NOW - 60
        ),
    )
    days = {"gone": 19_960, "back": 19_960, "n2": 19_999}
    store.create(slo_object.INDEX_KIND, slo_object.INDEX_NAME, days)
    burn_writer = writer.BurnWriter(store, "n1", actor_proxy)
    assert burn_writer.write(NOW)
    index = store.get(slo_object.INDEX_KIND, slo_object.INDEX_NAME).value
    assert index == {"n1": 20_000, "n2": 19_999}
    with pytest.raises(platform_errors.ObjectNotFound):
        store.get(slo_object.KIND, "gone")
    # A node that wrote recently keeps its counts although its registration expired.
    assert store.get(slo_object.KIND, "back")
