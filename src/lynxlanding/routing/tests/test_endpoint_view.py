import numpy
import pytest

from lynxlanding.routing import attempt_result, cache_report, endpoint_member, endpoint_view
from lynxlanding.routing.tests import view_factories

A = view_factories.make_addresses(1)[0]
SERVICE = view_factories.SERVICE
FAILED = attempt_result.AttemptResult(attempt_result.FAILED)
CANCELLED = attempt_result.AttemptResult(attempt_result.CANCELLED)


def _make_success(first_token_s=0.1):
    return attempt_result.AttemptResult(attempt_result.SUCCEEDED, first_token_s)


def _is_usable(view, address=A):
    return view.pool(SERVICE).find_usable(address) is not None


def _eject(view, now, address=A):
    for _ in range(3):
        view.end_request(view.begin_request(address, now), FAILED, now)


def test_load_counts_own_requests_after_the_measurement():
    """Guards against a lagging report that hides the node's own requests or counts them twice."""
    view = view_factories.make_view(1)
    view.begin_request(A, 1.0)
    view.begin_request(A, 1.5)
    view.apply_load(view_factories.make_load_report(A, 1.2, running=4), 2.0)
    # The four reported requests include the one sent at 1.0; the one sent at 1.5 is added.
    assert view.state(A).load == 5


def test_load_subtracts_own_requests_that_ended_after_the_measurement():
    """Guards against counting a finished request until the next report."""
    view = view_factories.make_view(1)
    request = view.begin_request(A, 1.0)
    view.apply_load(view_factories.make_load_report(A, 1.2, running=4), 2.0)
    view.end_request(request, _make_success(), 2.1)
    assert view.state(A).load == 3


def test_older_report_does_not_replace_newer():
    """Guards against reports that arrive out of order replacing newer ones."""
    view = view_factories.make_view(1)
    assert view.apply_load(view_factories.make_load_report(A, 2.0, running=1), 2.1)
    assert not view.apply_load(view_factories.make_load_report(A, 1.0, running=7), 2.2)
    assert not view.apply_load(view_factories.make_load_report(A, 2.5, running=7), 100.0)
    assert view.state(A).load == 1


@pytest.mark.parametrize("seed", range(5))
def test_totals_follow_every_event(seed):
    """Guards against incrementally updated totals that diverge from the loads of the endpoints."""
    random_state = numpy.random.default_rng(seed)
    addresses = view_factories.make_addresses(12)
    view = view_factories.make_view(12)
    requests = []
    now = 0.0
    for _ in range(1500):
        now += float(random_state.exponential(0.05))
        view.advance(now)
        address = addresses[int(random_state.integers(12))]
        event = int(random_state.integers(8))
        if event <= 2 and view.state(address) is not None:
            requests.append(view.begin_request(address, now))
        elif event <= 4 and requests:
            result = [FAILED, CANCELLED, _make_success()][int(random_state.integers(3))]
            view.end_request(requests.pop(int(random_state.integers(len(requests)))), result, now)
        elif event == 5:
            measured_at = now - float(random_state.random())
            instance = f"i{int(now / 20)}"
            slots = int(random_state.integers(4, 9))
            running = int(random_state.integers(9))
            adapters = ("a",) if random_state.random() < 0.5 else ()
            report = view_factories.make_load_report(
                address, measured_at, running, instance=instance, slots=slots, adapters=adapters
            )
            view.apply_load(report, now)
        elif event == 6 and random_state.random() < 0.1:
            kept = [a for a in addresses if random_state.random() < 0.8]
            view.set_members(SERVICE, map(endpoint_member.EndpointMember, kept), now)
        elif random_state.random() < 0.1:
            view.mark_leaving(address, "vm_list", now)
        else:
            view.clear_leaving(address, now)
        for pool in (view.pool(SERVICE), view.pool(SERVICE, "a")):
            if pool is None:
                continue
            assert pool.total_load == sum(state.load for state in pool.usable)
            assert pool.total_slots == sum(state.slots for state in pool.usable)
            for state in pool.usable:
                assert not state.is_leaving
                assert view.state(state.address) is state


def test_new_instance_discards_counts_and_cache():
    """Guards against routing by the load and cache contents of a process that has ended."""
    view = view_factories.make_view(1)
    view.apply_load(view_factories.make_load_report(A, 1.0, running=3, instance="old"), 1.1)
    request = view.begin_request(A, 1.2)
    event = cache_report.CacheEvent(1, cache_report.STORED, "p")
    view.apply_cache(cache_report.CacheReport(A, (event,), 1, "old"))
    assert A in view.cache.holders("p")
    view.apply_load(view_factories.make_load_report(A, 2.0, running=0, instance="new"), 2.1)
    assert view.state(A).load == 0
    assert view.cache.holders("p") is None
    view.begin_request(A, 2.2)
    view.end_request(request, _make_success(), 2.3)
    assert view.state(A).in_flight == 1
    late_event = cache_report.CacheEvent(9, cache_report.STORED, "p")
    view.apply_cache(cache_report.CacheReport(A, (late_event,), 9, "old"))
    assert view.cache.holders("p") is None


def test_gap_in_cache_events_discards_known_prefixes():
    """Guards against keeping a prefix whose eviction was among the lost events."""
    view = view_factories.make_view(1)
    stored = [cache_report.CacheEvent(n, cache_report.STORED, f"p{n}") for n in (1, 2, 5)]
    view.apply_cache(cache_report.CacheReport(A, tuple(stored[:2]), 2))
    view.apply_cache(cache_report.CacheReport(A, tuple(stored[:1]), 1))
    assert A in view.cache.holders("p2")
    view.apply_cache(cache_report.CacheReport(A, (stored[2],), 5))
    assert view.cache.holders("p2") is None
    assert A in view.cache.holders("p5")
    assert view.cache.gap_count == 1


def test_cache_index_is_bounded():
    """Guards against memory that grows with the number of different prompts."""
    index = endpoint_view.cache_index.CacheIndex(max_entries=10)
    events = [cache_report.CacheEvent(n, cache_report.STORED, f"p{n}") for n in range(1, 50)]
    index.apply(cache_report.CacheReport(A, tuple(events), 49))
    assert len(index) == 10
    assert A in index.holders("p49")


@pytest.mark.parametrize("source", ["vm_list", "own_report", "drains", "gossip"])
def test_leaving_ends_only_by_accepted_change(source):
    """Guards against new requests to an endpoint that any source reported as leaving."""
    view = view_factories.make_view(1)
    if source == "own_report":
        view.apply_load(view_factories.make_load_report(A, 1.0, draining=True), 1.1)
    else:
        view.mark_leaving(A, source, 1.0)
    assert not _is_usable(view)
    view.apply_load(view_factories.make_load_report(A, 2.0, draining=False), 2.1)
    assert not _is_usable(view)
    view.clear_leaving(A, 3.0)
    assert _is_usable(view)
    view.apply_load(view_factories.make_load_report(A, 2.9, draining=True), 3.1)
    assert _is_usable(view)


def test_new_instance_clears_the_drain_report_of_the_previous_one():
    """Guards against an endpoint that restarts after a drain and is never used again."""
    view = view_factories.make_view(1)
    view.apply_load(view_factories.make_load_report(A, 1.0, draining=True), 1.1)
    view.mark_leaving(A, "vm_list", 1.2)
    view.apply_load(view_factories.make_load_report(A, 2.0, instance="i2"), 2.1)
    assert not _is_usable(view)
    view.clear_leaving(A, 3.0)
    view.apply_load(view_factories.make_load_report(A, 4.0, instance="i2", draining=True), 4.1)
    view.apply_load(view_factories.make_load_report(A, 5.0, instance="i3"), 5.1)
    assert _is_usable(view)


def test_group_without_valid_evidence_is_not_usable():
    """Guards against requests to a group whose evidence is missing, stale or of another epoch."""
    view = view_factories.make_view(0)
    member = endpoint_member.EndpointMember(A, group="g1", epoch=3)
    view.set_members(SERVICE, [member], 0.0)
    view.apply_load(view_factories.make_load_report(A, 1.0, group="g1", epoch=3), 1.0)
    assert not _is_usable(view)
    view.set_group_validity(A, 4.0, 1.0)
    assert _is_usable(view)
    view.advance(3.9)
    assert _is_usable(view)
    view.advance(4.0)
    assert not _is_usable(view)
    view.set_group_validity(A, 9.0, 5.0)
    view.apply_load(view_factories.make_load_report(A, 5.5, group="g1", epoch=2), 5.5)
    assert not _is_usable(view)
    view.apply_load(view_factories.make_load_report(A, 5.6, group="g1", epoch=3), 5.6)
    assert _is_usable(view)
    view.set_group_validity(A, 5.0, 5.7)
    assert not _is_usable(view)


def test_endpoint_with_another_model_is_not_usable():
    """Guards against requests to an engine that has loaded another model."""
    view = view_factories.make_view(0)
    view.set_members(SERVICE, [endpoint_member.EndpointMember(A, model="m")], 0.0)
    assert _is_usable(view)
    view.apply_load(view_factories.make_load_report(A, 1.0, model="other"), 1.0)
    assert not _is_usable(view)


def test_ejection_probes_with_one_request():
    """Guards against a failing endpoint that receives full traffic when its ejection ends."""
    view = view_factories.make_view(2)
    _eject(view, 1.0)
    assert not _is_usable(view)
    view.advance(3.1)
    # The endpoint has not responded to a poll since its ejection, so no probe is sent.
    assert not _is_usable(view)
    view.record_poll_response(A, 3.5)
    view.advance(4.2)
    assert _is_usable(view)
    probe = view.begin_request(A, 4.3)
    assert not _is_usable(view)
    view.end_request(probe, FAILED, 4.4)
    view.record_poll_response(A, 5.0)
    view.advance(8.3)
    assert not _is_usable(view)
    view.advance(8.5)
    assert _is_usable(view)
    view.end_request(view.begin_request(A, 8.6), _make_success(), 8.7)
    assert _is_usable(view)
    assert view.state(A).consecutive_failures == 0


def test_failed_polls_eject():
    """Guards against requests to an endpoint that no longer responds."""
    view = view_factories.make_view(2)
    for _ in range(3):
        view.record_failed_poll(A, 1.0)
    assert not _is_usable(view)


def test_cancelled_requests_do_not_eject():
    """Guards against ejecting a healthy endpoint because callers disconnect."""
    view = view_factories.make_view(1)
    for _ in range(10):
        view.end_request(view.begin_request(A, 1.0), CANCELLED, 1.0)
    assert _is_usable(view)


def test_cancelled_probe_allows_another():
    """Guards against an endpoint that stays ejected because its probe was cancelled."""
    view = view_factories.make_view(2)
    _eject(view, 1.0)
    view.record_poll_response(A, 2.0)
    view.advance(3.1)
    view.end_request(view.begin_request(A, 3.2), CANCELLED, 3.3)
    assert _is_usable(view)


def test_all_ejected_endpoints_remain_candidates():
    """Guards against an unavailable service because some requests make all endpoints fail."""
    view = view_factories.make_view(2)
    for address in view_factories.make_addresses(2):
        _eject(view, 1.0, address)
    pool = view.pool(SERVICE)
    assert len(pool.usable) == 0
    assert len(pool.candidates) == 2
    view.mark_leaving(A, "vm_list", 1.1)
    assert [state.address for state in pool.candidates] == view_factories.make_addresses(2)[1:]


def test_straggler_factor_rises_and_decays():
    """Guards against full traffic to stragglers, and against never using them again."""
    view = view_factories.make_view(20)
    addresses = view_factories.make_addresses(20)
    for step in range(200):
        address = addresses[step % 20]
        first_token_s = 1.0 if address == A else 0.1
        view.end_request(view.begin_request(address, 1.0), _make_success(first_token_s), 1.0)
    assert view.state(A).straggler_factor(1.0) > 5
    assert view.state(addresses[1]).straggler_factor(1.0) == 1.0
    assert view.state(A).straggler_factor(200.0) == 1.0


def test_services_share_the_state_of_an_endpoint():
    """Guards against counting the load of an endpoint separately for each of its services."""
    view = view_factories.make_view(1)
    view.set_members("other", [endpoint_member.EndpointMember(A)], 0.0)
    view.begin_request(A, 1.0)
    assert view.pool("other").total_load == view.pool(SERVICE).total_load == 1
    view.set_members("other", [], 2.0)
    assert len(view.pool("other").usable) == 0
    assert _is_usable(view)


def test_adapter_pool_follows_reports():
    """Guards against requests for an adapter to an engine that has not loaded it."""
    view = view_factories.make_view(2)
    assert view.pool(SERVICE, "billing") is None
    view.apply_load(view_factories.make_load_report(A, 1.0, adapters=("billing",)), 1.0)
    assert [state.address for state in view.pool(SERVICE, "billing").usable] == [A]
    view.apply_load(view_factories.make_load_report(A, 2.0, adapters=()), 2.0)
    assert len(view.pool(SERVICE, "billing").usable) == 0
