import numpy
import pytest

from lynxlanding.admission import admission_queue, admission_request, decision


def _make_request(request_id, priority=5, deadline=1000.0):
    return admission_request.AdmissionRequest(request_id, "w", "pool", priority, deadline)


def _make_queue(limit, queue_limit=8, seed=1):
    return admission_queue.AdmissionQueue(limit, numpy.random.default_rng(seed), queue_limit)


def _outcomes(decisions):
    return {item.request_id: item.outcome for item in decisions}


def _warm_up(queue, service_time_s, count=60):
    """Run requests so that the queue measures ``service_time_s``; return the time afterwards."""
    now = 0.0
    for number in range(count):
        queue.offer(_make_request(f"warm-up{number}"), True, now)
        now += service_time_s
        queue.release(f"warm-up{number}", now)
    return now


def test_admits_up_to_the_limit():
    """Guards against more requests in flight than the limit."""
    queue = _make_queue(2)
    outcomes = [queue.offer(_make_request(f"r{n}"), True, 0.0)[0].outcome for n in range(3)]
    assert outcomes == [decision.ADMITTED, decision.ADMITTED, decision.QUEUED]
    assert _outcomes(queue.release("r0", 1.0)) == {"r2": decision.ADMITTED}


def test_order_is_share_then_priority_then_arrival():
    """Guards against excess or low-priority requests overtaking requests within share."""
    queue = _make_queue(1)
    queue.offer(_make_request("running"), True, 0.0)
    queue.offer(_make_request("excess9", priority=9), False, 0.0)
    queue.offer(_make_request("within1", priority=1), True, 0.0)
    queue.offer(_make_request("within5a"), True, 0.0)
    queue.offer(_make_request("within5b"), True, 0.0)
    order = []
    current = "running"
    while current is not None:
        decisions = queue.release(current, 0.1)
        current = decisions[0].request_id if decisions else None
        order.append(current)
    assert order == ["within5a", "within5b", "within1", "excess9", None]


def test_refuses_immediately_when_the_wait_exceeds_the_deadline():
    """Guards against callers waiting for a response that cannot complete before the deadline."""
    queue = _make_queue(1)
    now = _warm_up(queue, 2.0)
    assert queue.mean_service_time_s == pytest.approx(2.0, rel=0.1)
    queue.offer(_make_request("running"), True, now)
    assert queue.offer(_make_request("long", deadline=now + 60), True, now)[0].outcome == "queued"
    refused = queue.offer(_make_request("short", deadline=now + 3), True, now)[0]
    assert (refused.outcome, refused.reason) == (decision.REFUSED, decision.DEADLINE)


def test_retry_after_follows_the_queue_length():
    """Guards against a constant Retry-After, after which callers retry while the queue is full."""
    queue = _make_queue(2, queue_limit=40)
    now = _warm_up(queue, 1.0)
    for number in range(22):
        queue.offer(_make_request(f"r{number}"), True, now)
    refused = queue.offer(_make_request("late", deadline=now), True, now)[0]
    # 21 requests at 2 completions/s, plus 5 s until the first retry: retries are spaced at a tenth
    # of the completion rate.
    assert 15.0 <= refused.retry_after_s <= 1.25 * 16.0


def test_refused_callers_retry_one_after_the_other():
    """Guards against refused callers overloading the node again when they retry."""
    queue = _make_queue(10)
    now = _warm_up(queue, 1.0)
    # Requests within share may exceed the limit of 10 by 25%.
    for number in range(12):
        queue.offer(_make_request(f"running{number}"), True, now)
    retry_delays_s = []
    for number in range(200):
        refused = queue.offer(_make_request(f"r{number}", deadline=now), True, now)[0]
        retry_delays_s.append(refused.retry_after_s)
    # At 10 completions/s, callers are told to retry at 1/s.
    assert sum(delay_s < 50 for delay_s in retry_delays_s) <= 50
    assert max(retry_delays_s) >= 200
    assert max(retry_delays_s) <= 1.25 * admission_queue.MAX_RETRY_AFTER_S


def test_rising_service_time_refuses_queued_requests_early():
    """Guards against requests queued until their deadline although all endpoints have stalled."""
    queue = _make_queue(16)
    now = _warm_up(queue, 0.2)
    for number in range(20):
        queue.offer(_make_request(f"running{number}"), True, now)
    assert (
        queue.offer(_make_request("waiting", deadline=now + 60), True, now)[0].outcome == "queued"
    )
    assert queue.refuse_late(now + 1) == []
    refused_at = None
    for second in range(2, 60):
        if queue.refuse_late(now + second):
            refused_at = second
            break
    assert refused_at is not None
    assert refused_at < 45


def test_full_queue_prefers_requests_within_share():
    """Guards against excess requests filling the queue and blocking requests within share."""
    queue = _make_queue(1, queue_limit=2)
    queue.offer(_make_request("running"), True, 0.0)
    queue.offer(_make_request("excess1"), False, 0.0)
    queue.offer(_make_request("excess2"), False, 0.0)
    decisions = queue.offer(_make_request("within"), True, 0.0)
    assert _outcomes(decisions) == {"within": decision.QUEUED, "excess2": decision.REFUSED}
    refused = queue.offer(_make_request("excess3"), False, 0.0)
    assert refused[0].reason == decision.QUEUE_FULL
    assert len(queue) == 2


def test_excess_is_refused_when_within_share_takes_all_capacity():
    """Guards against queueing excess requests that can never start."""
    queue = _make_queue(1, queue_limit=100)
    now = _warm_up(queue, 1.0)
    queue.offer(_make_request("running"), True, now)
    for number in range(10):
        queue.offer(_make_request(f"w{number}"), True, now)
    refused = queue.offer(_make_request("excess", deadline=now + 60), False, now)[0]
    assert refused.outcome == decision.REFUSED


def test_disconnect_frees_the_queue_position():
    """Guards against a disconnected caller keeping its slot or its position in the queue."""
    queue = _make_queue(1)
    queue.offer(_make_request("running"), True, 0.0)
    queue.offer(_make_request("gone"), True, 0.0)
    queue.offer(_make_request("next"), True, 0.0)
    assert queue.release("gone", 0.1) == []
    assert _outcomes(queue.release("running", 0.2)) == {"next": decision.ADMITTED}
    assert queue.release("running", 0.3) == []


def test_refuses_without_capacity():
    """Guards against queueing requests while the pool has no slots."""
    queue = _make_queue(0)
    assert queue.offer(_make_request("r"), True, 0.0)[0].reason == decision.NO_CAPACITY


@pytest.mark.parametrize("seed", range(8))
def test_every_request_gets_exactly_one_final_decision(seed):
    """Guards against requests that are lost, admitted twice or queued while a slot is free."""
    random_state = numpy.random.default_rng(seed)
    queue = _make_queue(5, 20, seed)
    now = 0.0
    waiting = set()
    running = set()

    def track(decisions):
        for item in decisions:
            if item.outcome == decision.QUEUED:
                waiting.add(item.request_id)
                continue
            waiting.discard(item.request_id)
            if item.outcome == decision.ADMITTED:
                assert item.request_id not in running
                running.add(item.request_id)
            else:
                assert item.retry_after_s >= 1.0

    for number in range(3000):
        now += float(random_state.exponential(0.05))
        action = random_state.random()
        if action < 0.5:
            deadline = now + float(random_state.exponential(10.0))
            request = _make_request(f"r{number}", int(random_state.integers(10)), deadline)
            track(queue.offer(request, random_state.random() < 0.5, now))
        elif action < 0.9 and running:
            ended = sorted(running)[int(random_state.integers(len(running)))]
            running.discard(ended)
            track(queue.release(ended, now))
        elif action < 0.95 and waiting:
            disconnected = sorted(waiting)[int(random_state.integers(len(waiting)))]
            waiting.discard(disconnected)
            track(queue.release(disconnected, now))
        elif action < 0.98:
            track(queue.set_limit(int(random_state.integers(1, 9)), now))
        else:
            track(queue.refuse_late(now))
        assert queue.in_flight == len(running)
        assert len(queue) == len(waiting) <= 20
        assert not waiting or len(running) >= queue.limit
