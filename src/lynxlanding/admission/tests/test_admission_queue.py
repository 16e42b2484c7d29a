import numpy
import pytest

from lynxlanding.admission import admission_queue, admission_request, decision


def _request(name, priority=5, deadline=1000.0):
    return admission_request.AdmissionRequest(name, "w", "pool", priority, deadline)


def _queue(limit, queue_limit=8, seed=1):
    return admission_queue.AdmissionQueue(limit, numpy.random.default_rng(seed), queue_limit)


def _outcomes(decisions):
    return {item.request_id: item.outcome for item in decisions}


def _train(queue, service_s, count=60):
    """Let the queue measure a service time; returns the time afterwards."""
    now = 0.0
    for number in range(count):
        queue.offer(_request(f"train{number}"), True, now)
        now += service_s
        queue.end(f"train{number}", now)
    return now


def test_admits_up_to_the_limit():
    """Guards against more requests in flight than the endpoints have room for."""
    queue = _queue(2)
    outcomes = [queue.offer(_request(f"r{n}"), True, 0.0)[0].outcome for n in range(3)]
    assert outcomes == [decision.ADMITTED, decision.ADMITTED, decision.QUEUED]
    assert _outcomes(queue.end("r0", 1.0)) == {"r2": decision.ADMITTED}


def test_order_is_share_then_priority_then_arrival():
    """Guards against excess or unimportant requests passing those that are owed service."""
    queue = _queue(1)
    queue.offer(_request("running"), True, 0.0)
    queue.offer(_request("excess9", priority=9), False, 0.0)
    queue.offer(_request("within1", priority=1), True, 0.0)
    queue.offer(_request("within5a"), True, 0.0)
    queue.offer(_request("within5b"), True, 0.0)
    order = []
    current = "running"
    while current is not None:
        decisions = queue.end(current, 0.1)
        current = decisions[0].request_id if decisions else None
        order.append(current)
    assert order == ["within5a", "within5b", "within1", "excess9", None]


def test_refuses_at_once_when_the_wait_exceeds_the_deadline():
    """Guards against callers that wait for a response that cannot come in time."""
    queue = _queue(1)
    now = _train(queue, 2.0)
    assert queue.service_s == pytest.approx(2.0, rel=0.1)
    queue.offer(_request("running"), True, now)
    assert queue.offer(_request("long", deadline=now + 60), True, now)[0].outcome == "queued"
    refused = queue.offer(_request("short", deadline=now + 3), True, now)[0]
    assert (refused.outcome, refused.reason) == (decision.REFUSED, decision.DEADLINE)


def test_retry_after_follows_the_queue():
    """Guards against a constant Retry-After that brings callers back while the queue is full."""
    queue = _queue(2, queue_limit=40)
    now = _train(queue, 1.0)
    for number in range(22):
        queue.offer(_request(f"r{number}"), True, now)
    refused = queue.offer(_request("late", deadline=now), True, now)[0]
    # 21 requests in turn at two a second, and 5 s for the place among the returning callers.
    assert 15.0 <= refused.retry_after_s <= 1.25 * 16.0


def test_refused_callers_return_one_after_the_other():
    """Guards against refused callers that overload the node again when they return."""
    queue = _queue(10)
    now = _train(queue, 1.0)
    # Requests within share may exceed the limit by a quarter.
    for number in range(12):
        queue.offer(_request(f"running{number}"), True, now)
    moments = []
    for number in range(200):
        refused = queue.offer(_request(f"r{number}", deadline=now), True, now)[0]
        moments.append(refused.retry_after_s)
    # Ten a second complete, so one a second returns.
    assert sum(moment < 50 for moment in moments) <= 50
    assert max(moments) >= 200
    assert max(moments) <= 1.25 * admission_queue.MAX_RETRY_AFTER_S


def test_rising_service_time_refuses_queued_requests_early():
    """Guards against holding a request until its deadline after all endpoints have stalled."""
    queue = _queue(16)
    now = _train(queue, 0.2)
    for number in range(20):
        queue.offer(_request(f"running{number}"), True, now)
    assert queue.offer(_request("waiting", deadline=now + 60), True, now)[0].outcome == "queued"
    assert queue.reassess(now + 1) == []
    refused_at = None
    for second in range(2, 60):
        if queue.reassess(now + second):
            refused_at = second
            break
    assert refused_at is not None
    assert refused_at < 45


def test_full_queue_prefers_requests_within_share():
    """Guards against a queue full of excess that keeps out what is owed."""
    queue = _queue(1, queue_limit=2)
    queue.offer(_request("running"), True, 0.0)
    queue.offer(_request("excess1"), False, 0.0)
    queue.offer(_request("excess2"), False, 0.0)
    decisions = queue.offer(_request("within"), True, 0.0)
    assert _outcomes(decisions) == {"within": decision.QUEUED, "excess2": decision.REFUSED}
    refused = queue.offer(_request("excess3"), False, 0.0)
    assert refused[0].reason == decision.QUEUE_FULL
    assert len(queue) == 2


def test_excess_is_refused_when_within_share_takes_all_capacity():
    """Guards against excess that queues behind a rate which never lets it start."""
    queue = _queue(1, queue_limit=100)
    now = _train(queue, 1.0)
    queue.offer(_request("running"), True, now)
    for number in range(10):
        queue.offer(_request(f"w{number}"), True, now)
    refused = queue.offer(_request("excess", deadline=now + 60), False, now)[0]
    assert refused.outcome == decision.REFUSED


def test_disconnect_frees_the_place():
    """Guards against a slot or queue place that a vanished caller keeps."""
    queue = _queue(1)
    queue.offer(_request("running"), True, 0.0)
    queue.offer(_request("gone"), True, 0.0)
    queue.offer(_request("next"), True, 0.0)
    assert queue.end("gone", 0.1) == []
    assert _outcomes(queue.end("running", 0.2)) == {"next": decision.ADMITTED}
    assert queue.end("running", 0.3) == []


def test_no_capacity_refuses():
    """Guards against queueing for endpoints that do not exist."""
    queue = _queue(0)
    assert queue.offer(_request("r"), True, 0.0)[0].reason == decision.NO_CAPACITY


@pytest.mark.parametrize("seed", range(8))
def test_every_request_gets_exactly_one_final_decision(seed):
    """Guards against requests that are lost, admitted twice or admitted above the limit."""
    random_state = numpy.random.default_rng(seed)
    queue = _queue(5, 20, seed)
    now = 0.0
    waiting = set()
    running = set()

    def apply(decisions):
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
        kind = random_state.random()
        if kind < 0.5:
            deadline = now + float(random_state.exponential(10.0))
            request = _request(f"r{number}", int(random_state.integers(10)), deadline)
            apply(queue.offer(request, random_state.random() < 0.5, now))
        elif kind < 0.9 and running:
            ended = sorted(running)[int(random_state.integers(len(running)))]
            running.discard(ended)
            apply(queue.end(ended, now))
        elif kind < 0.95 and waiting:
            gone = sorted(waiting)[int(random_state.integers(len(waiting)))]
            waiting.discard(gone)
            apply(queue.end(gone, now))
        elif kind < 0.98:
            apply(queue.set_limit(int(random_state.integers(1, 9)), now))
        else:
            apply(queue.reassess(now))
        assert queue.in_flight == len(running)
        assert len(queue) == len(waiting) <= 20
        assert not waiting or len(running) >= queue.limit
