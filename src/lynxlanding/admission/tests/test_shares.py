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
    owed=strategies.floats(0.1, 1e5),
    demands=strategies.lists(
        strategies.one_of(strategies.just(0.0), strategies.floats(1e-3, 1e5)),
        min_size=1,
        max_size=40,
    ),
)
def test_split_uses_what_is_owed_and_no_more(owed, demands):
    """Guards against slices that oversell a workspace's rate or leave part of it unused."""
    slices = [_proportional_split.split(owed, demands, index) for index in range(len(demands))]
    used = sum(min(s, d) for s, d in zip(slices, demands, strict=True))
    assert used <= owed * 1.0001
    assert used >= min(owed, sum(demands)) * 0.9999
    floor = owed / (4 * len(demands))
    assert min(slices) >= floor * 0.9999


def _nodes(count, now=0.0):
    nodes = []
    for number in range(count):
        slices = share_allocator.ShareSlices(f"n{number}")
        slices.set_owed({KEY: 100.0})
        for other in range(count):
            slices.expect_node(f"n{other}", now)
        nodes.append(slices)
    return nodes


def _gossip(nodes, demands, now, sides=None):
    for number, slices in enumerate(nodes):
        for other in range(len(nodes)):
            if sides is None or sides[number] == sides[other]:
                slices.hear(f"n{other}", {KEY: demands[other]}, now)


def _update(nodes, demands, now):
    result = []
    for number, slices in enumerate(nodes):
        result.append(slices.update({KEY: demands[number]}, now)[KEY])
    return result


def test_slices_follow_demand():
    """Guards against equal slices, which leave a share unused when traffic is uneven."""
    nodes = _nodes(9)
    demands = [95.0, 5.0, 0, 0, 0, 0, 0, 0, 0]
    _gossip(nodes, demands, 1.0)
    slices = _update(nodes, demands, 1.0)
    assert slices[0] == pytest.approx(95.0)
    demands = [5.0, 95.0, 0, 0, 0, 0, 0, 0, 0]
    _gossip(nodes, demands, 2.0)
    assert _update(nodes, demands, 2.0)[1] == pytest.approx(95.0)


def test_new_node_uses_the_floor_until_it_is_heard():
    """Guards against every starting node taking the whole rate."""
    nodes = _nodes(9)
    slices = _update(nodes, [1000.0] * 9, 1.0)
    assert slices == [pytest.approx(100.0 / 36)] * 9


def test_partition_freezes_then_shares_on_each_side():
    """Guards against overshoot before 30 s of silence, and against idle shares after it."""
    nodes = _nodes(9)
    sides = [0, 0, 0, 0, 1, 1, 1, 1, 1]
    demands = [100.0] * 9
    _gossip(nodes, demands, 0.0)
    _update(nodes, demands, 0.0)
    demands = [500.0] * 4 + [20.0] * 5
    for now in range(1, 16):
        _gossip(nodes, demands, now, sides)
        slices = _update(nodes, demands, now)
    frozen = _update(nodes, demands, 15.5)
    for now in range(16, 31):
        _gossip(nodes, demands, now, sides)
        slices = _update(nodes, demands, now)
        assert {node.state for node in nodes} == {share_allocator.FROZEN}
        assert slices == frozen
    for now in range(31, 40):
        _gossip(nodes, demands, now, sides)
        slices = _update(nodes, demands, now)
    assert {node.state for node in nodes} == {share_allocator.SHARED}
    assert sum(slices[:4]) == pytest.approx(100.0)
    assert sum(slices[4:]) == pytest.approx(100.0)
    _gossip(nodes, demands, 41)
    assert sum(_update(nodes, demands, 41)) <= 125.0


def test_frozen_slices_follow_a_configuration_change():
    """Guards against an accepted change of a rate that waits for the end of a partition."""
    nodes = _nodes(2)
    _gossip(nodes, [10.0, 10.0], 0.0)
    assert _update(nodes, [10.0, 10.0], 0.0) == [pytest.approx(50.0)] * 2
    for node in nodes:
        node.set_owed({KEY: 10.0})
    assert _update(nodes, [10.0, 10.0], 20.0) == [pytest.approx(5.0)] * 2


def test_planned_stop_redistributes_at_once():
    """Guards against 30 s without a stopped node's slice."""
    nodes = _nodes(2)
    _gossip(nodes, [10.0, 90.0], 0.0)
    _update(nodes, [10.0, 90.0], 0.0)
    nodes[0].remove_node("n1")
    assert nodes[0].update({KEY: 10.0}, 1.0)[KEY] == pytest.approx(100.0)


def test_token_bucket_keeps_the_rate():
    """Guards against a rate above the slice beyond one burst, also with large costs."""
    for cost in (0.3, 1.0, 7.0):
        bucket = token_bucket.TokenBucket(2.0)
        taken = 0.0
        for step in range(10_000):
            now = step * 0.01
            if bucket.has_room(now):
                bucket.take(cost, now)
                taken += cost
        assert 199.0 <= taken <= 200.0 + token_bucket.MIN_BURST + cost


def test_rate_meter_converges():
    """Guards against a demand that is reported too high or too low."""
    meter = rate_meter.RateMeter()
    for step in range(4000):
        meter.observe(1.0, step * 0.01)
    assert meter.rate(40.0) == pytest.approx(100.0, rel=0.02)
    assert meter.rate(80.0) < 1.0


def test_tokens_are_corrected_after_the_response():
    """Guards against a workspace that gets more tokens than owed by expecting few."""
    shares = workspace_shares.WorkspaceShares()
    shares.set_slices({("north", workspace_shares.TOKENS): 100.0}, 0.0)
    assert shares.take("north", 10.0, 0.0)
    # Five seconds of the rate may be taken at once; this takes four seconds more.
    shares.correct_tokens("north", 890.0, 0.0)
    assert not shares.take("north", 10.0, 3.9)
    assert shares.take("north", 10.0, 4.1)
    assert not shares.take("south", 1.0, 4.1)


def _controller(slots=4):
    controller = admission_controller.AdmissionController("n0", numpy.random.default_rng(1))
    controller.set_owed({("small", "requests"): 5.0, ("large", "requests"): 5.0}, 0.0)
    controller.set_pool_slots({"pool": slots}, 0.0)
    return controller


def _offer(controller, name, workspace, now, deadline=100.0):
    request = admission_request.AdmissionRequest(name, workspace, "pool", 5, deadline)
    return controller.offer(request, now)


def test_excess_does_not_displace_what_is_owed():
    """Guards against a workspace above its share filling the queue before the others."""
    controller = _controller()
    queued = []
    for number in range(60):
        queued.extend(_offer(controller, f"large{number}", "large", 0.0))
    # Six run, one of them above the limit of five; the rest waits or was refused.
    assert [item.outcome for item in queued[:6]] == [decision.ADMITTED] * 6
    assert _offer(controller, "small", "small", 0.1)[0].within_share
    order = []
    ended = [f"large{number}" for number in range(6)]
    while ended:
        for item in controller.end(ended.pop(0), 0.2):
            order.append((item.request_id, item.within_share))
            ended.append(item.request_id)
    names = [name for name, _ in order]
    assert False in [item.within_share for item in queued]
    for _, within_share in order[: names.index("small")]:
        assert within_share


def test_varying_service_times_do_not_hand_the_slots_to_excess():
    """Guards against refusing requests within share while requests in excess are admitted."""
    random_state = numpy.random.default_rng(1)
    controller = _controller(slots=20)
    running = []
    admitted = {"small": 0, "large": 0}
    sent = {"small": 0, "large": 0}

    def apply(decisions, now):
        for item in decisions:
            if item.outcome == decision.ADMITTED:
                admitted[item.request_id.split("-")[0]] += 1
                heapq.heappush(running, (now + random_state.exponential(1.5), item.request_id))

    for step in range(6000):
        now = step * 0.01
        while running and running[0][0] <= now:
            apply(controller.end(heapq.heappop(running)[1], now), now)
        if step % 20 == 0:
            apply(controller.advance(now), now)
        workspace = "small" if random_state.random() < 0.045 else "large"
        sent[workspace] += 1
        apply(_offer(controller, f"{workspace}-{step}", workspace, now, now + 5.0), now)
    # The small workspace sends 4.5 of the 5 requests/s that it is owed, the large one 95.5.
    assert admitted["small"] >= 0.95 * sent["small"]
    assert admitted["large"] <= 0.3 * sent["large"]


def test_refused_and_cancelled_requests_cost_no_share():
    """Guards against a workspace that loses its share to requests that never ran."""
    controller = _controller(slots=1)
    for number in range(2):
        _offer(controller, f"running{number}", "large", 0.0)
    for number in range(50):
        refused = _offer(controller, f"r{number}", "small", 0.0, deadline=0.0)[0]
        assert refused.outcome == decision.REFUSED
        _offer(controller, f"c{number}", "small", 0.0)
        controller.end(f"c{number}", 0.0)
    assert _offer(controller, "small", "small", 0.0)[0].within_share


def test_limit_is_the_part_of_the_slots():
    """Guards against every node filling all slots of all endpoints."""
    controller = _controller(slots=80)
    assert controller.queues()["pool"].limit == 100
    for number in range(1, 4):
        demand = {("pool", share_allocator.EXCESS): 30.0}
        controller.slices.hear(f"n{number}", demand, 1.0)
    for number in range(50):
        _offer(controller, f"r{number}", "other", 1.0)
    controller.advance(1.0)
    # Own demand 10/s of 100/s: a tenth of 80 slots, times 1.25.
    assert controller.queues()["pool"].limit == 10


def test_slots_go_first_to_the_nodes_that_owe_service():
    """Guards against a workspace above its share drawing the slots to the nodes that it uses."""
    assert _proportional_split.split_slots(100.0, [30.0, 0.0], [0.0, 1000.0], 0) >= 30.0
    assert _proportional_split.split_slots(100.0, [30.0, 0.0], [0.0, 1000.0], 1) == pytest.approx(
        70.0
    )
    assert _proportional_split.split_slots(100.0, [120.0, 40.0], [0.0, 1000.0], 0) == pytest.approx(
        75.0
    )
    assert _proportional_split.split_slots(100.0, [0.0, 0.0], [0.0, 0.0], 0) == pytest.approx(50.0)


def test_fair_order_serves_by_weight():
    """Guards against a workspace that replaces its refused requests crowding out another."""
    order = _fair_scheduler.FairOrder()
    waiting = []
    for workspace, weight in (("large", 8.0), ("small", 1.0)):
        for _ in range(90):
            tag = order.tag(workspace, weight)
            order.keep(workspace, tag)
            waiting.append((tag, workspace))
    first = [workspace for _, workspace in sorted(waiting)[:90]]
    assert first.count("small") == 10
    order.start(sorted(waiting)[89][0])
    # A workspace that was idle is next, but gets no credit for the past.
    assert order.tag("other", 1.0) == pytest.approx(sorted(waiting)[89][0] + 1.0)


def test_slots_of_a_silent_node_are_used_at_once():
    """Guards against a node that refuses the callers of a node that was killed."""
    slices = share_allocator.ShareSlices("n0")
    slices.set_owed({("pool", share_allocator.SLOTS): 40.0})
    slices.hear("n1", {("pool", share_allocator.EXCESS): 90.0}, 0.0)
    own = {("pool", share_allocator.EXCESS): 10.0}
    assert slices.update(own, 1.0)[("pool", share_allocator.SLOTS)] == pytest.approx(5.0)
    assert slices.update(own, 16.0)[("pool", share_allocator.SLOTS)] == pytest.approx(40.0)


def test_nodes_that_start_together_share_the_slots():
    """Guards against every node of a starting fleet filling all slots."""
    slices = share_allocator.ShareSlices("n0")
    slices.set_owed({("pool", share_allocator.SLOTS): 40.0})
    for number in range(1, 4):
        slices.expect_node(f"n{number}", 0.0)
    own = {("pool", share_allocator.EXCESS): 10.0}
    assert slices.update(own, 1.0)[("pool", share_allocator.SLOTS)] == pytest.approx(10.0)
