"""Seeded simulations of drains and shutdowns, also with one mechanism disabled at a time.

A leaving endpoint must get no new requests once ``PROPAGATION_S`` has passed since the first
signal, and neither its release nor the shutdown of a node may abort requests. The tests with a
mechanism disabled show that the schedules detect its absence.
"""

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


def test_leaving_endpoint_gets_no_late_request_and_is_released_idle():
    """Guards against late requests to a leaving endpoint and aborted requests."""
    released = 0
    for seed in range(SCHEDULES):
        simulation = drain_simulation.DrainSimulation(seed).run()
        assert simulation.last_request_delay_s <= drain_simulation.PROPAGATION_S, f"seed {seed}"
        assert simulation.aborted == 0, f"seed {seed}"
        released += simulation.released_at is not None
    # An endpoint that is never released would not abort requests either.
    assert released == SCHEDULES


class _WithdrawingTable(leaving_table.LeavingTable):
    """Withdraws a signal when its source no longer repeats it."""

    def record_vm_list(self, vms, now):
        for vm in vms:
            if vm.state == "live":
                self._signals.pop(vm.address, None)
        return super().record_vm_list(vms, now)


def test_requests_are_late_if_signals_are_withdrawn():
    """Shows that signals must outlast a source that reverts to an earlier state."""
    assert _max_request_delay_s(table_type=_WithdrawingTable) > drain_simulation.PROPAGATION_S


def test_requests_are_late_without_gossip():
    """Shows that nodes that cannot observe the source must be notified by others."""
    assert _max_request_delay_s(gossip=False) > drain_simulation.PROPAGATION_S


def test_requests_are_aborted_if_release_follows_a_fixed_wait(monkeypatch):
    """Shows that the release must depend on the number of requests in flight."""

    def decide_after_wait(self, now):
        is_released = now >= self._started_at + drain_simulation.PROPAGATION_S
        return release_decision.ReleaseDecision(is_released, 0, 0, 0.0)

    monkeypatch.setattr(release_tracker.ReleaseTracker, "decide", decide_after_wait)
    assert _find_aborted_requests() > 0


def test_requests_are_aborted_if_silent_nodes_are_ignored(monkeypatch):
    """Shows that the release must wait for nodes that do not report."""
    decide = release_tracker.ReleaseTracker.decide

    def decide_without_silent_nodes(self, now):
        decision = decide(self, now)
        is_released = decision.is_released or decision.in_flight == 0
        return release_decision.ReleaseDecision(is_released, 0, 0, 0.0)

    monkeypatch.setattr(release_tracker.ReleaseTracker, "decide", decide_without_silent_nodes)
    assert _find_aborted_requests() > 0


def test_graceful_shutdown_aborts_no_request():
    """Guards against a node that exits while requests are running."""
    for seed in range(SCHEDULES):
        assert _stop_node(seed, limit_s=drain_simulation.MAX_TIMEOUT_S) == (0, 0), f"seed {seed}"


def test_shutdown_counts_again_after_refusing_new_requests():
    """Guards against aborting a request accepted after the last count."""
    stop = node_stop.NodeStop(2.0, 10.0)
    stop.request_stop(0.0)
    assert stop.advance(2.0, 0) == node_stop.DRAINING
    assert not stop.accepts_requests
    assert stop.advance(2.1, 1) == node_stop.DRAINING
    assert stop.advance(2.2, 0) == node_stop.STOPPED


def test_shutdown_aborts_requests_if_limit_is_below_longest_deadline():
    """Shows that the limit must be at least the longest deadline."""
    aborted = 0
    for seed in range(SCHEDULES):
        aborted += _stop_node(seed, limit_s=drain_simulation.MAX_TIMEOUT_S / 4)[0]
    assert aborted > 0


@pytest.mark.parametrize("ended_by", ["drains removed", "other VM", "other instance"])
def test_leaving_state_ends_for_another_endpoint_or_by_a_change(ended_by):
    """Guards against an address that stays out of service permanently."""
    table = leaving_table.LeavingTable()
    if ended_by == "drains removed":
        table.apply_drains(["e:1"], 0.0)
        table.apply_drains([], 1.0)
    elif ended_by == "other VM":
        simulation = drain_simulation.DrainSimulation(0)
        simulation.leaves_at, simulation.reverts_at, simulation.now = 0.0, 9.0, 1.0
        simulation.observe_source(simulation.nodes[0])
        table = simulation.nodes[0].table
        assert table.is_leaving("e:1")
        table.record_vm_list(
            [drain_simulation.platform_vm.Vm("new", "e:1", "p", "d", 8, "live")], 2.0
        )
    else:
        table.record_report("e:1", "first", True, 0.0)
        table.record_report("e:1", "first", False, 1.0)
        assert table.is_leaving("e:1")
        table.record_report("e:1", "second", False, 2.0)
    assert not table.is_leaving("e:1")


def test_idle_endpoint_is_released_only_after_all_nodes_stopped_sending():
    """Guards against releasing an endpoint that an uninformed node still sends requests to.

    The request could arrive after the report that counted no requests.
    """
    rules = release_rules.ReleaseRules(5.0, 600.0)
    tracker = idle_tracker.IdleTracker(100.0, rules)
    tracker.record_report(103.0, 0)
    assert not tracker.is_released(104.0)
    tracker.record_report(106.5, 1)
    assert not tracker.is_released(107.0)
    tracker.record_report(108.0, 0)
    assert tracker.is_released(108.0)


def _max_request_delay_s(**options):
    max_delay_s = 0.0
    for seed in range(SCHEDULES):
        max_delay_s = max(
            max_delay_s,
            drain_simulation.DrainSimulation(seed, **options).run().last_request_delay_s,
        )
        if max_delay_s > drain_simulation.PROPAGATION_S:
            break
    return max_delay_s


def _find_aborted_requests():
    for seed in range(SCHEDULES):
        aborted = drain_simulation.DrainSimulation(seed).run().aborted
        if aborted:
            return aborted
    return 0


def _stop_node(seed, limit_s):
    """Return the numbers of aborted requests and of those refused before the balancer reacted."""
    random_state = np.random.default_rng(seed)
    stop = node_stop.NodeStop(2.0, limit_s)
    stop_at = float(random_state.uniform(1, 5))
    # The load balancer polls readiness every second.
    balancer_reacts_at = stop_at + float(random_state.uniform(0, 1))
    end_times = []
    refused = 0
    now = 0.0
    while stop.state != node_stop.STOPPED:
        now += 0.25
        if now >= stop_at:
            stop.request_stop(now)
        end_times = [end_time for end_time in end_times if end_time > now]
        if now < balancer_reacts_at and random_state.random() < 0.5:
            if stop.accepts_requests:
                end_times.append(
                    now + drain_simulation.MAX_TIMEOUT_S * float(random_state.random())
                )
            else:
                refused += 1
        stop.advance(now, len(end_times))
    return stop.aborted_requests, refused


def test_gossiped_signal_remains_until_another_instance_reports():
    """Guards against a gossiped signal that is lost or that outlives its endpoint."""
    other_table = leaving_table.LeavingTable()
    other_table.record_report("e:1", "first", True, 0.0)
    table = leaving_table.LeavingTable()
    assert table.record_notices(other_table.notices(), 1.0) == ["e:1"]
    # Signals received from other nodes are not passed on as own observations.
    assert table.notices() == {}
    table.record_report("e:1", "first", False, 2.0)
    assert table.is_leaving("e:1")
    table.record_report("e:1", "second", False, 3.0)
    assert not table.is_leaving("e:1")
