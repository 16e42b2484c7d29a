"""Cost of single decisions of claims, executions and retries."""

import time

import numpy as np

from lynxlanding.errors import endpoint as endpoint_errors
from lynxlanding.requests import (
    claim_events,
    claim_record,
    claims,
    execution,
    execution_decisions,
    node_identity,
    stream_position,
)
from lynxlanding.retry import retry_policy

IDENTITY = node_identity.NodeIdentity("n1", "1", "127.0.0.1:1")
EVENTS = 64


def measure(repeats):
    """Return one row for each decision, with its time in microseconds."""
    rows = []
    for name, function in (
        ("claim: create, written, send, done", _claim),
        ("claim: name and fingerprint of 1 KB", _name),
        ("execution: send, response, body", _execution),
        ("execution: send, failure, retry answer", _failure),
        (f"stream: accept {EVENTS} events", _events),
    ):
        times = np.empty(repeats)
        for index in range(repeats):
            started_at = time.perf_counter()
            function()
            times[index] = time.perf_counter() - started_at
        rows.append(
            {
                "decision": name,
                "p50_us": float(np.percentile(times, 50) * 1e6),
                "p99_us": float(np.percentile(times, 99) * 1e6),
            }
        )
    return rows


def _claim():
    record = claim_record.ClaimRecord("f", IDENTITY, "t", claim_record.CLAIMED, 0.0)
    claim = claims.Claim(record, 60.0)
    claim.begin(0.0)
    claim.handle(claim_events.Written(1), 0.01)
    claim.may_send(0.02)
    claim.complete(None)


_BODY = b"x" * 1024


def _name():
    claim_record.make_object_name("north", "key")
    claim_record.compute_fingerprint("POST", "/book", _BODY)


def _make_execution():
    return execution.Execution("r", ("model", "m"), 60.0, idempotent=True, echo_required=True)


def _execution():
    running = _make_execution()
    attempt_id = running.begin(0.0).attempt_id
    headers = {"x-request-id": "r", "x-attempt-id": attempt_id}
    running.on_response(attempt_id, 200, headers)
    running.on_body(attempt_id)


_POLICY = retry_policy.RetryPolicy()
_ERROR = endpoint_errors.ConnectionBroken("reset")


def _failure():
    _POLICY.record_request()
    running = _make_execution()
    decision = running.on_failure(running.begin(0.0).attempt_id, _ERROR, 0.1)
    if isinstance(decision, execution_decisions.AskRetry):
        running.on_retry_decision(_POLICY.decide(decision.query, 0.1), 0.1)


_EVENTS = [b"id: %d\ndata: {}" % number for number in range(EVENTS)]


def _events():
    stream_position.StreamPosition().accept(_EVENTS)
