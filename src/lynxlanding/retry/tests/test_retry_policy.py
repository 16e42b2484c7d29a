import numpy as np
import pytest

from lynxlanding.errors import endpoint as endpoint_errors
from lynxlanding.retry import classification, retry_policy, retry_question

MODEL = ("model", "m")


def _question(attempts=1, deadline=10.0, may_use_reserve=False):
    return retry_question.RetryQuestion(
        MODEL, attempts, deadline, resumes=may_use_reserve, may_use_reserve=may_use_reserve
    )


@pytest.mark.parametrize("may_use_reserve", [False, True])
@pytest.mark.parametrize("failure_rate", [0.05, 0.2, 0.9])
def test_retries_stay_below_a_tenth_of_the_requests(failure_rate, may_use_reserve):
    """Guards against retries that multiply an overload."""
    policy = retry_policy.RetryPolicy()
    random_state = np.random.default_rng(1)
    retries = 0
    for number in range(1, 10_001):
        policy.count_request()
        attempts = 1
        while random_state.random() < failure_rate:
            question = _question(attempts, may_use_reserve=may_use_reserve)
            if policy.decide(question, 0.0) != retry_policy.GRANTED:
                break
            attempts += 1
            retries += 1
        if number >= 1000:
            assert retries <= 0.1 * number


def test_burst_is_available_at_the_start():
    """Guards against a node whose first failures cannot be retried."""
    policy = retry_policy.RetryPolicy()
    answers = [policy.decide(_question(), 0.0) for _ in range(11)]
    assert answers == [retry_policy.GRANTED] * 10 + [retry_policy.BUDGET_EMPTY]


def test_streams_of_a_lost_domain_are_resumed():
    """Guards against streams that end with a fabric domain although endpoints are left."""
    policy = retry_policy.RetryPolicy()
    for _ in range(2000):
        policy.count_request()
    answers = [policy.decide(_question(), 0.0) for _ in range(20)]
    assert answers.count(retry_policy.GRANTED) == 10
    answers = [policy.decide(_question(may_use_reserve=True), 0.0) for _ in range(120)]
    assert answers.count(retry_policy.GRANTED) == 100


def test_late_retry_is_refused_and_costs_nothing():
    """Guards against retries that cannot finish and only take capacity."""
    policy = retry_policy.RetryPolicy()
    policy.record_success(MODEL, 2.0)
    for _ in range(20):
        assert policy.decide(_question(deadline=1.5), 0.0) == retry_policy.TOO_LATE
    assert policy.decide(_question(deadline=2.5), 0.0) == retry_policy.GRANTED


def test_attempts_of_one_request_are_bounded():
    """Guards against a request that crashes every engine in turn."""
    policy = retry_policy.RetryPolicy()
    question = _question(attempts=retry_policy.MAX_ATTEMPTS)
    assert policy.decide(question, 0.0) == retry_policy.TOO_MANY_ATTEMPTS


def test_every_failure_is_classified():
    """Guards against a new failure type that is silently never retried, or taken for not run."""
    for error_type in endpoint_errors.AttemptError.__subclasses__():
        error = error_type(503) if error_type is endpoint_errors.EndpointRefused else error_type()
        failure = classification.classify(error)
        assert failure.retryable, error_type
        assert failure.may_have_run != error.certainly_not_run, error_type
