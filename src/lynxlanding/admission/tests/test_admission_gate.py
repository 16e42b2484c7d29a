import math
import threading
import time

import numpy
import pytest

from lynxlanding.admission import admission_actor, admission_gate
from lynxlanding.errors import request as request_errors
from lynxlanding.requests import caller_request

POOL = "model:m"


def _make_request(request_id, timeout_s=30.0, has_caller_left=lambda: False):
    return caller_request.CallerRequest(
        request_id,
        "w",
        caller_request.MODEL,
        "m",
        "POST",
        "/v1/completions",
        {},
        b"",
        0.0,
        time.monotonic() + timeout_s,
        True,
        None,
        5,
        True,
        b"",
        has_caller_left,
    )


@pytest.fixture
def admission():
    actor_ref = admission_actor.AdmissionActor.start("n0", numpy.random.default_rng(1))
    yield actor_ref.proxy()
    actor_ref.stop()


def _make_gate(admission, slots=1):
    admission.set_pool_slots({POOL: slots}).get()
    return admission_gate.AdmissionGate(admission, lambda: {POOL: slots})


def _fill(gate, count=2):
    for number in range(count):
        gate.admit(_make_request(f"running{number}"))


def _admit_in_thread(gate, request):
    result = []

    def run():
        try:
            gate.admit(request)
            result.append("admitted")
        except request_errors.RequestError as e:
            result.append(e)

    thread = threading.Thread(target=run)
    thread.start()
    return thread, result


def test_queued_request_is_admitted_when_another_is_released(admission):
    """Guards against a queued request that is not notified of its admission."""
    gate = _make_gate(admission)
    _fill(gate)
    thread, result = _admit_in_thread(gate, _make_request("waiting"))
    time.sleep(0.05)
    assert result == []
    gate.release("running0")
    thread.join(5.0)
    assert result == ["admitted"]


def test_request_that_cannot_be_served_in_time_is_refused_immediately(admission):
    """Guards against a caller that waits although its request cannot be served in time."""
    gate = _make_gate(admission)
    _fill(gate)
    started_at = time.monotonic()
    with pytest.raises(request_errors.ShareExceeded) as caught:
        gate.admit(_make_request("late", timeout_s=0.5))
    assert time.monotonic() - started_at < 0.4
    assert caught.value.executed == request_errors.EXECUTED_NO
    assert caught.value.retry_after_s >= 1.0


def test_queued_caller_that_disconnects_frees_its_position(admission):
    """Guards against disconnected callers filling the queue."""
    gate = _make_gate(admission)
    _fill(gate)
    has_left = threading.Event()
    thread, result = _admit_in_thread(gate, _make_request("gone", has_caller_left=has_left.is_set))
    time.sleep(0.05)
    has_left.set()
    thread.join(5.0)
    assert isinstance(result[0], request_errors.Overloaded)
    assert admission.status().get()["pools"][POOL][0] == 0


def test_streamed_tokens_are_charged(admission):
    """Guards against a guaranteed rate in tokens/s that a workspace can exceed without limit."""
    gate = _make_gate(admission, slots=1)
    admission.set_guaranteed_rates({("w", "tokens"): 10.0}).get()
    gate.admit(_make_request("first"))
    gate.release("first", tokens=10_000)
    _fill(gate, 1)
    with pytest.raises(request_errors.ShareExceeded):
        gate.admit(_make_request("second", timeout_s=0.1))
        gate.admit(_make_request("third", timeout_s=0.1))


def test_missing_endpoint_raises_no_endpoint(admission):
    """Guards against a misleading error while no endpoint exists."""
    gate = _make_gate(admission, slots=0)
    with pytest.raises(request_errors.NoEndpoint):
        gate.admit(_make_request("r"))


def test_malformed_demand_of_another_node_is_ignored(admission):
    """Guards against admission failing because of a node of another version."""
    admission.record_peer_demand(
        ["n1"], {"n1": [["w"], "x", ["w", "requests", "many"], ["w", "requests", 1]]}
    )
    admission.record_peer_demand(["n1"], {"n1": {"w": math.inf}}).get()
    assert admission.status().get()["slices"] == "shared"
