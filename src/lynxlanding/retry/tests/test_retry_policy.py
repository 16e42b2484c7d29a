import numpy as np
import pytest

from lynxlanding.errors import endpoint as endpoint_errors
from lynxlanding.retry import classification, retry_policy, retry_query

MODEL = ("model", "m")


def _make_query(attempts=1, deadline=10.0, may_use_reserve=False):
    return retry_query.RetryQuery(
        MODEL, attempts, deadline, resumes=may_use_reserve, may_use_reserve=may_use_reserve
    )


@pytest.mark.parametrize("may_use_reserve", [False, True])
@pytest.mark.parametrize("failure_rate", [0.05, 0.2, 0.9])
def test_retries_stay_below_a_tenth_of_requests(failure_rate, may_use_reserve):
    """Guards against retries that amplify an overload."""
    policy = retry_policy.RetryPolicy()
    random_state = np.random.default_rng(1)
    retries = 0
    for number in range(1, 10_001):
        policy.record_request()
        attempts = 1
        while random_state.random() < failure_rate:
            query = _make_query(attempts, may_use_reserve=may_use_reserve)
            if policy.decide(query, 0.0) != retry_policy.GRANTED:
                break
            attempts += 1
            retries += 1
        if number >= 1000:
            assert retries <= 0.1 * number


def test_bucket_is_full_initially():
    """Guards against a freshly started node that cannot retry its first failures."""
    policy = retry_policy.RetryPolicy()
    decisions = [policy.decide(_make_query(), 0.0) for _ in range(11)]
    assert decisions == [retry_policy.GRANTED] * 10 + [retry_policy.BUDGET_EMPTY]


def test_reserve_resumes_streams_of_a_lost_fabric_domain():
    """Guards against streams that end with their fabric domain although other endpoints are up.

    Ordinary retries cannot use the reserve; resumed streams can.
    """
    policy = retry_policy.RetryPolicy()
    for _ in range(2000):
        policy.record_request()
    decisions = [policy.decide(_make_query(), 0.0) for _ in range(20)]
    assert decisions.count(retry_policy.GRANTED) == 10
    decisions = [policy.decide(_make_query(may_use_reserve=True), 0.0) for _ in range(120)]
    assert decisions.count(retry_policy.GRANTED) == 100


def test_late_retry_is_refused_without_using_the_budget():
    """Guards against retries that cannot finish in time and only take capacity."""
    policy = retry_policy.RetryPolicy()
    policy.record_success(MODEL, 2.0)
    for _ in range(20):
        assert policy.decide(_make_query(deadline=1.5), 0.0) == retry_policy.TOO_LATE
    assert policy.decide(_make_query(deadline=2.5), 0.0) == retry_policy.GRANTED


def test_attempts_of_one_request_are_limited():
    """Guards against a request whose input crashes one engine after another."""
    policy = retry_policy.RetryPolicy()
    query = _make_query(attempts=retry_policy.MAX_ATTEMPTS)
    assert policy.decide(query, 0.0) == retry_policy.TOO_MANY_ATTEMPTS


def test_every_failure_is_classified():
    """Guards against a new type of failure that is never retried or is assumed not to have run."""
    for error_type in endpoint_errors.AttemptError.__subclasses__():
        error = error_type(503) if error_type is endpoint_errors.EndpointRefused else error_type()
        failure = classification.classify(error)
        assert failure.retryable, error_type
        assert failure.may_have_run != error.certainly_not_run, error_type
