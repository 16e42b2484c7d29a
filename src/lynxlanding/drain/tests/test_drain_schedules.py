"""G6 and G7 over seeded schedules, and the same schedules without each mechanism."""

import numpy as np
import pytest

from lynxlanding.drain import (
    idle_tracker,
    leaving_table,
    node_stop,
    release_decision,
    release_rules,
    release_tracker,
)
from lynxlanding.drain.tests import drain_simulation

SCHEDULES = 1000


def test_leaving_endpoint_gets_no_new_request_and_is_released_empty():
    """Guards against late requests to a leaving endpoint (G6) and cut requests (G7)."""
    released = 0
    for seed in range(SCHEDULES):
        world = drain_simulation.DrainWorld(seed).run()
        assert world.last_new_s <= drain_simulation.NOTICE_S, f"seed {seed}"
        assert world.cut == 0, f"seed {seed}"
        released += world.released_at is not None
    # An endpoint that is never released would cut nothing either.
    assert released == SCHEDULES


class _FollowingTable(leaving_table.LeavingTable):
    """Takes a signal back when its source stops repeating it."""

    def note_vm_list(self, vms, now):
        for vm in vms:
            if vm.state == "live":
                self._signals.pop(vm.address, None)
        return super().note_vm_list(vms, now)


def test_g6_fails_when_a_signal_is_taken_back():
    """Shows that the schedules need signals that stay."""
    assert _latest_request(table_type=_FollowingTable) > drain_simulation.NOTICE_S


def test_g6_fails_without_gossip_notices():
    """Shows that the schedules need the notice to nodes that cannot see the source."""
    assert _latest_request(gossip=False) > drain_simulation.NOTICE_S


def test_g7_fails_when_release_follows_a_fixed_wait(monkeypatch):
    """Shows that the schedules need the count of requests in flight."""

    def decide_after_wait(self, now):
        is_over = now >= self._started_at + drain_simulation.NOTICE_S
        return release_decision.ReleaseDecision(is_over, 0, 0, 0.0)

    monkeypatch.setattr(release_tracker.ReleaseTracker, "decide", decide_after_wait)
    assert _cut_requests() > 0


def test_g7_fails_when_silence_counts_as_zero(monkeypatch):
    """Shows that the schedules need the wait for nodes that do not report."""
    decide = release_tracker.ReleaseTracker.decide

    def decide_without_silent(self, now):
        decision = decide(self, now)
        is_released = decision.is_released or decision.in_flight == 0
        return release_decision.ReleaseDecision(is_released, 0, 0, 0.0)

    monkeypatch.setattr(release_tracker.ReleaseTracker, "decide", decide_without_silent)
    assert _cut_requests() > 0


def test_planned_stop_of_a_node_cuts_nothing():
    """Guards against a node that exits while a request runs (G7)."""
    for seed in range(SCHEDULES):
        assert _stop_node(seed, limit_s=drain_simulation.MAX_TIMEOUT_S) == (0, 0), f"seed {seed}"


def test_planned_stop_counts_again_after_requests_are_refused():
    """Guards against a request that is accepted between the count and the refusal (G7)."""
    stop = node_stop.NodeStop(2.0, 10.0)
    stop.request_stop(0.0)
    assert stop.advance(2.0, 0) == node_stop.DRAINING
    assert not stop.accepts_requests
    assert stop.advance(2.1, 1) == node_stop.DRAINING
    assert stop.advance(2.2, 0) == node_stop.STOPPED


def test_planned_stop_cuts_with_a_limit_below_the_longest_deadline():
    """Shows that the schedules need the limit of at least the longest deadline."""
    cut = 0
    for seed in range(SCHEDULES):
        cut += _stop_node(seed, limit_s=drain_simulation.MAX_TIMEOUT_S / 4)[0]
    assert cut > 0


@pytest.mark.parametrize("end", ["drains removed", "other VM", "other instance"])
def test_leaving_state_ends_for_another_endpoint_or_by_a_change(end):
    """Guards against an address that stays out of service for ever."""
    table = leaving_table.LeavingTable()
    if end == "drains removed":
        table.apply_drains(["e:1"], 0.0)
        table.apply_drains([], 1.0)
    elif end == "other VM":
        world = drain_simulation.DrainWorld(0)
        world.leaves_at, world.flips_at, world.now = 0.0, 9.0, 1.0
        world._observe(world.nodes[0])
        table = world.nodes[0].table
        assert table.is_leaving("e:1")
        table.note_vm_list(
            [drain_simulation.platform_vm.Vm("new", "e:1", "p", "d", 8, "live")], 2.0
        )
    else:
        table.note_report("e:1", "first", True, 0.0)
        table.note_report("e:1", "first", False, 1.0)
        assert table.is_leaving("e:1")
        table.note_report("e:1", "second", False, 2.0)
    assert not table.is_leaving("e:1")


def test_idle_endpoint_is_released_only_after_the_notice_time():
    """Guards against a release between the last report and a request of an uninformed node."""
    rules = release_rules.ReleaseRules(5.0, 600.0)
    tracker = idle_tracker.IdleTracker(100.0, rules)
    tracker.note_report(103.0, 0)
    assert not tracker.is_released(104.0)
    tracker.note_report(106.5, 1)
    assert not tracker.is_released(107.0)
    tracker.note_report(108.0, 0)
    assert tracker.is_released(108.0)


def _latest_request(**options):
    latest = 0.0
    for seed in range(SCHEDULES):
        latest = max(latest, drain_simulation.DrainWorld(seed, **options).run().last_new_s)
        if latest > drain_simulation.NOTICE_S:
            break
    return latest


def _cut_requests():
    for seed in range(SCHEDULES):
        cut = drain_simulation.DrainWorld(seed).run().cut
        if cut:
            return cut
    return 0


def _stop_node(seed, limit_s):
    """Return the requests cut off and those refused before the balancer could notice."""
    random = np.random.default_rng(seed)
    stop = node_stop.NodeStop(2.0, limit_s)
    stop_at = float(random.uniform(1, 5))
    # The balancer polls readiness every second.
    balancer_notices_at = stop_at + float(random.uniform(0, 1))
    ends = []
    refused = 0
    now = 0.0
    while stop.state != node_stop.STOPPED:
        now += 0.25
        if now >= stop_at:
            stop.request_stop(now)
        ends = [end for end in ends if end > now]
        if now < balancer_notices_at and random.random() < 0.5:
            if stop.accepts_requests:
                ends.append(now + drain_simulation.MAX_TIMEOUT_S * float(random.random()))
            else:
                refused += 1
        stop.advance(now, len(ends))
    return stop.cut_off, refused


def test_notice_of_another_node_stays_until_the_endpoint_is_another_one():
    """Guards against a notice that is lost, and against one that outlives its endpoint."""
    seen_by_other = leaving_table.LeavingTable()
    seen_by_other.note_report("e:1", "first", True, 0.0)
    table = leaving_table.LeavingTable()
    assert table.note_notices(seen_by_other.notices(), 1.0) == ["e:1"]
    # What a node learned from others is not passed on as its own observation.
    assert table.notices() == {}
    table.note_report("e:1", "first", False, 2.0)
    assert table.is_leaving("e:1")
    table.note_report("e:1", "second", False, 3.0)
    assert not table.is_leaving("e:1")
