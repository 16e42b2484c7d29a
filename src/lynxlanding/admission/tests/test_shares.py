import heapq

import hypothesis
import numpy
import pytest
from hypothesis import strategies

from lynxlanding.admission import (
    _fair_scheduler,
    _proportional_split,
    admission_controller,
    admission_request,
    decision,
    rate_meter,
    share_allocator,
    token_bucket,
    workspace_shares,
)

KEY = ("north", workspace_shares.REQUESTS)


@hypothesis.settings(max_examples=200, derandomize=True, deadline=None)
@hypothesis.given(
    total=strategies.floats(0.1, 1e5),
    demands=strategies.lists(
        strategies.one_of(strategies.just(0.0), strategies.floats(1e-3, 1e5)),
        min_size=1,
        max_size=40,
    ),
)
def test_split_uses_the_total_and_no_more(total, demands):
    """Guards against allocations that exceed a workspace's rate or leave part of it unused."""
    allocations = [
        _proportional_split.split_total(total, demands, index) for index in range(len(demands))
    ]
    used = sum(min(a, d) for a, d in zip(allocations, demands, strict=True))
    assert used <= total * 1.0001
    assert used >= min(total, sum(demands)) * 0.9999
    floor = total / (4 * len(demands))
    assert min(allocations) >= floor * 0.9999


def _make_allocators(count, now=0.0):
    allocators = []
    for number in range(count):
        allocator = share_allocator.ShareAllocator(f"n{number}")
        allocator.set_totals({KEY: 100.0})
        for other in range(count):
            allocator.add_node(f"n{other}", now)
        allocators.append(allocator)
    return allocators


def _gossip(allocators, demands, now, sides=None):
    for number, allocator in enumerate(allocators):
        for other in range(len(allocators)):
            if sides is None or sides[number] == sides[other]:
                allocator.record_demand(f"n{other}", {KEY: demands[other]}, now)


def _update(allocators, demands, now):
    allocations = []
    for number, allocator in enumerate(allocators):
        allocations.append(allocator.update({KEY: demands[number]}, now)[KEY])
    return allocations


def test_allocations_follow_demand():
    """Guards against equal allocations, which leave part of a rate unused under uneven traffic."""
    allocators = _make_allocators(9)
    demands = [95.0, 5.0, 0, 0, 0, 0, 0, 0, 0]
    _gossip(allocators, demands, 1.0)
    allocations = _update(allocators, demands, 1.0)
    assert allocations[0] == pytest.approx(95.0)
    demands = [5.0, 95.0, 0, 0, 0, 0, 0, 0, 0]
    _gossip(allocators, demands, 2.0)
    assert _update(allocators, demands, 2.0)[1] == pytest.approx(95.0)


def test_starting_nodes_use_the_minimum_allocation():
    """Guards against every starting node using the whole rate."""
    allocators = _make_allocators(9)
    allocations = _update(allocators, [1000.0] * 9, 1.0)
    assert allocations == [pytest.approx(100.0 / 36)] * 9


def test_partition_freezes_then_shares_on_each_side():
    """Guards against exceeding the rate for 30 s, and against unused allocations after that."""
    allocators = _make_allocators(9)
    sides = [0, 0, 0, 0, 1, 1, 1, 1, 1]
    demands = [100.0] * 9
    _gossip(allocators, demands, 0.0)
    _update(allocators, demands, 0.0)
    demands = [500.0] * 4 + [20.0] * 5
    for now in range(1, 16):
        _gossip(allocators, demands, now, sides)
        allocations = _update(allocators, demands, now)
    frozen = _update(allocators, demands, 15.5)
    for now in range(16, 31):
        _gossip(allocators, demands, now, sides)
        allocations = _update(allocators, demands, now)
        assert {allocator.state for allocator in allocators} == {share_allocator.FROZEN}
        assert allocations == frozen
    for now in range(31, 40):
        _gossip(allocators, demands, now, sides)
        allocations = _update(allocators, demands, now)
    assert {allocator.state for allocator in allocators} == {share_allocator.SHARED}
    assert sum(allocations[:4]) == pytest.approx(100.0)
    assert sum(allocations[4:]) == pytest.approx(100.0)
    _gossip(allocators, demands, 41)
    assert sum(_update(allocators, demands, 41)) <= 125.0


def test_frozen_allocations_follow_a_configuration_change():
    """Guards against an accepted rate change that takes effect only after a partition."""
    allocators = _make_allocators(2)
    _gossip(allocators, [10.0, 10.0], 0.0)
    assert _update(allocators, [10.0, 10.0], 0.0) == [pytest.approx(50.0)] * 2
    for allocator in allocators:
        allocator.set_totals({KEY: 10.0})
    assert _update(allocators, [10.0, 10.0], 20.0) == [pytest.approx(5.0)] * 2


def test_planned_stop_reallocates_immediately():
    """Guards against a stopped node's allocation staying unused for 30 s."""
    allocators = _make_allocators(2)
    _gossip(allocators, [10.0, 90.0], 0.0)
    _update(allocators, [10.0, 90.0], 0.0)
    allocators[0].remove_node("n1")
    assert allocators[0].update({KEY: 10.0}, 1.0)[KEY] == pytest.approx(100.0)


def test_token_bucket_keeps_the_rate():
    """Guards against exceeding the rate by more than one burst, including with large costs."""
    for cost in (0.3, 1.0, 7.0):
        bucket = token_bucket.TokenBucket(2.0)
        consumed = 0.0
        for step in range(10_000):
            now = step * 0.01
            if bucket.is_within_rate(now):
                bucket.consume(cost, now)
                consumed += cost
        assert 199.0 <= consumed <= 200.0 + token_bucket.MIN_BURST + cost


def test_rate_meter_converges():
    """Guards against reporting too high or too low a demand."""
    meter = rate_meter.RateMeter()
    for step in range(4000):
        meter.add(1.0, step * 0.01)
    assert meter.rate(40.0) == pytest.approx(100.0, rel=0.02)
    assert meter.rate(80.0) < 1.0


def test_tokens_are_corrected_after_the_response():
    """Guards against exceeding a token rate by underestimating the tokens of requests."""
    shares = workspace_shares.WorkspaceShares()
    shares.set_allocations({("north", workspace_shares.TOKENS): 100.0}, 0.0)
    assert shares.record_request("north", 10.0, 0.0)
    # The bucket holds 5 s of the rate; 10 + 890 tokens leave a debt of 4 s.
    shares.correct_tokens("north", 890.0, 0.0)
    assert not shares.record_request("north", 10.0, 3.9)
    assert shares.record_request("north", 10.0, 4.1)
    assert not shares.record_request("south", 1.0, 4.1)


def _make_controller(slots=4):
    controller = admission_controller.AdmissionController("n0", numpy.random.default_rng(1))
    controller.set_guaranteed_rates({("small", "requests"): 5.0, ("large", "requests"): 5.0}, 0.0)
    controller.set_pool_slots({"pool": slots}, 0.0)
    return controller


def _offer(controller, request_id, workspace, now, deadline=100.0):
    request = admission_request.AdmissionRequest(request_id, workspace, "pool", 5, deadline)
    return controller.offer(request, now)


def test_excess_does_not_displace_requests_within_share():
    """Guards against a workspace above its share being served before the others."""
    controller = _make_controller()
    decisions = []
    for number in range(60):
        decisions.extend(_offer(controller, f"large{number}", "large", 0.0))
    # Six are admitted, one above the limit of five; the others are queued or refused.
    assert [item.outcome for item in decisions[:6]] == [decision.ADMITTED] * 6
    assert _offer(controller, "small", "small", 0.1)[0].within_share
    order = []
    ended = [f"large{number}" for number in range(6)]
    while ended:
        for item in controller.release(ended.pop(0), 0.2):
            order.append((item.request_id, item.within_share))
            ended.append(item.request_id)
    request_ids = [request_id for request_id, _ in order]
    assert False in [item.within_share for item in decisions]
    for _, within_share in order[: request_ids.index("small")]:
        assert within_share


def test_varying_service_times_do_not_give_the_slots_to_excess():
    """Guards against refusing requests within share while excess requests are admitted."""
    random_state = numpy.random.default_rng(1)
    controller = _make_controller(slots=20)
    running = []
    admitted = {"small": 0, "large": 0}
    sent = {"small": 0, "large": 0}

    def track(decisions, now):
        for item in decisions:
            if item.outcome == decision.ADMITTED:
                admitted[item.request_id.split("-")[0]] += 1
                heapq.heappush(running, (now + random_state.exponential(1.5), item.request_id))

    for step in range(6000):
        now = step * 0.01
        while running and running[0][0] <= now:
            track(controller.release(heapq.heappop(running)[1], now), now)
        if step % 20 == 0:
            track(controller.update(now), now)
        workspace = "small" if random_state.random() < 0.045 else "large"
        sent[workspace] += 1
        track(_offer(controller, f"{workspace}-{step}", workspace, now, now + 5.0), now)
    # Both workspaces are guaranteed 5 requests/s; the small one sends 4.5 and the large one 95.5.
    assert admitted["small"] >= 0.95 * sent["small"]
    assert admitted["large"] <= 0.3 * sent["large"]


def test_refused_and_cancelled_requests_are_refunded():
    """Guards against charging a workspace for requests that never ran."""
    controller = _make_controller(slots=1)
    for number in range(2):
        _offer(controller, f"running{number}", "large", 0.0)
    for number in range(50):
        refused = _offer(controller, f"r{number}", "small", 0.0, deadline=0.0)[0]
        assert refused.outcome == decision.REFUSED
        _offer(controller, f"c{number}", "small", 0.0)
        controller.release(f"c{number}", 0.0)
    assert _offer(controller, "small", "small", 0.0)[0].within_share


def test_limit_follows_the_allocated_slots():
    """Guards against every node filling all slots of all endpoints."""
    controller = _make_controller(slots=80)
    assert controller.queues()["pool"].limit == 100
    for number in range(1, 4):
        demand = {("pool", share_allocator.EXCESS): 30.0}
        controller.allocator.record_demand(f"n{number}", demand, 1.0)
    for number in range(50):
        _offer(controller, f"r{number}", "other", 1.0)
    controller.update(1.0)
    # The node has 10/s of the demand of 100/s: a tenth of 80 slots, times 1.25.
    assert controller.queues()["pool"].limit == 10


def test_slots_go_first_to_nodes_with_requests_within_share():
    """Guards against allocating the slots to the nodes used by a workspace above its share."""
    assert _proportional_split.split_slots(100.0, [30.0, 0.0], [0.0, 1000.0], 0) >= 30.0
    assert _proportional_split.split_slots(100.0, [30.0, 0.0], [0.0, 1000.0], 1) == pytest.approx(
        70.0
    )
    assert _proportional_split.split_slots(100.0, [120.0, 40.0], [0.0, 1000.0], 0) == pytest.approx(
        75.0
    )
    assert _proportional_split.split_slots(100.0, [0.0, 0.0], [0.0, 0.0], 0) == pytest.approx(50.0)


def test_fair_scheduler_serves_by_weight():
    """Guards against a workspace that replaces its refused requests starving another."""
    scheduler = _fair_scheduler.FairScheduler()
    waiting = []
    for workspace, weight in (("large", 8.0), ("small", 1.0)):
        for _ in range(90):
            tag = scheduler.next_tag(workspace, weight)
            scheduler.record_tag(workspace, tag)
            waiting.append((tag, workspace))
    first = [workspace for _, workspace in sorted(waiting)[:90]]
    assert first.count("small") == 10
    scheduler.start_request(sorted(waiting)[89][0])
    # An idle workspace is served next, but gets no credit for its idle time.
    assert scheduler.next_tag("other", 1.0) == pytest.approx(sorted(waiting)[89][0] + 1.0)


def test_slots_of_a_silent_node_are_reallocated_immediately():
    """Guards against refusing callers that were moved here from a killed node."""
    allocator = share_allocator.ShareAllocator("n0")
    allocator.set_totals({("pool", share_allocator.SLOTS): 40.0})
    allocator.record_demand("n1", {("pool", share_allocator.EXCESS): 90.0}, 0.0)
    own_demand = {("pool", share_allocator.EXCESS): 10.0}
    assert allocator.update(own_demand, 1.0)[("pool", share_allocator.SLOTS)] == pytest.approx(5.0)
    assert allocator.update(own_demand, 16.0)[("pool", share_allocator.SLOTS)] == pytest.approx(
        40.0
    )


def test_nodes_that_start_together_share_the_slots():
    """Guards against every node of a starting fleet allocating all slots to itself."""
    allocator = share_allocator.ShareAllocator("n0")
    allocator.set_totals({("pool", share_allocator.SLOTS): 40.0})
    for number in range(1, 4):
        allocator.add_node(f"n{number}", 0.0)
    own_demand = {("pool", share_allocator.EXCESS): 10.0}
    assert allocator.update(own_demand, 1.0)[("pool", share_allocator.SLOTS)] == pytest.approx(10.0)
