"""Share of retries at several failure rates."""

import numpy as np

from lynxlanding.errors import endpoint as endpoint_errors
from lynxlanding.requests import execution, execution_decisions
from lynxlanding.retry import retry_policy


def measure(failure_rates, requests, seed):
    """Return one row for each failure rate of single attempts."""
    rows = []
    for failure_rate in failure_rates:
        random_state = np.random.default_rng(seed)
        policy = retry_policy.RetryPolicy()
        attempts = 0
        failed = 0
        for _ in range(requests):
            policy.record_request()
            used, succeeded = _run(policy, random_state, failure_rate)
            attempts += used
            failed += not succeeded
        rows.append(
            {
                "attempt_failure_rate": failure_rate,
                "retry_share": (attempts - requests) / requests,
                "failed_share": failed / requests,
                "failed_share_without_retries": failure_rate,
            }
        )
    return rows


def _run(policy, random_state, failure_rate):
    running = execution.Execution("r", ("model", "m"), 60.0, idempotent=True, echo_required=True)
    decision = running.begin(0.0)
    while isinstance(decision, execution_decisions.SendAttempt):
        if random_state.random() >= failure_rate:
            return running.attempts, True
        error = endpoint_errors.ConnectionBroken("reset")
        decision = running.on_failure(decision.attempt_id, error, 0.1)
        if isinstance(decision, execution_decisions.AskRetry):
            answer = policy.decide(decision.query, 0.1)
            decision = running.on_retry_decision(answer, 0.1)
    return running.attempts, False
