"""Seeded simulations of requests with idempotency keys.

They check that a request is executed at most once and that refusals state correctly whether it
was executed. Deliberate faults show that each check detects the absence of the mechanism that it
covers.
"""

import collections

import pytest

from lynxlanding.errors import endpoint as endpoint_errors
from lynxlanding.errors import request as request_errors
from lynxlanding.requests import claim_decisions, claim_record, claims, execution
from lynxlanding.requests.tests import fault_kinds, keyed_request_simulation

SCHEDULES = 1012
# This error is about one submission, because a reused key belongs to another request. With all
# other errors, ``executed: no`` applies to all submissions of the key, because the key identifies
# the request.
ERRORS_ABOUT_SUBMISSION = (request_errors.IdempotencyKeyReused,)


def duplicate_executions(simulation):
    """Return the keys that were executed more than once."""
    counts = collections.Counter(key for key, _, _ in simulation.executions)
    return [key for key, count in counts.items() if count > 1]


def false_refusals(simulation):
    """Return the refusals with ``executed: no`` although the request was executed."""
    ran = {submission for _, submission, _ in simulation.executions}
    found = []
    for result in simulation.results:
        if result.error is None or result.error.executed != request_errors.EXECUTED_NO:
            continue
        if result.submission in ran:
            found.append(result)
        if isinstance(result.error, ERRORS_ABOUT_SUBMISSION):
            continue
        if any(at <= result.returned_at for _, _, at in simulation.executions_of(result.key)):
            found.append(result)
    return found


def wrong_responses(simulation):
    """Return the responses that belong to another request or to no execution."""
    found = []
    for result in simulation.results:
        if result.body is None:
            continue
        if result.body != f"{result.key} booked".encode() or not simulation.executions_of(
            result.key
        ):
            found.append(result)
    return found


def test_keyed_requests_run_at_most_once():
    """Guards against duplicate executions, false refusals and wrong replays."""
    totals = collections.Counter()
    outcomes = collections.Counter()
    for seed in range(SCHEDULES):
        simulation = keyed_request_simulation.KeyedRequestSimulation(seed).run()
        assert not duplicate_executions(simulation), f"seed {seed}: {simulation.executions}"
        assert not false_refusals(simulation), f"seed {seed}: {simulation.results}"
        assert not wrong_responses(simulation), f"seed {seed}: {simulation.results}"
        totals.update(set(simulation.faults))
        for result in simulation.results:
            outcomes["answered" if result.error is None else result.error.type_name] += 1
    # Every fault kind and every outcome must actually have occurred.
    assert all(totals[kind] >= 150 for kind in fault_kinds.KINDS)
    assert outcomes["answered"] > SCHEDULES
    for type_name in ("outcome_unknown", "endpoint_failed", "overloaded", "no_endpoint"):
        assert outcomes[type_name] > 100, outcomes
    assert outcomes["claims_unavailable"] > 10, outcomes


class TakesOverClaims(claims.Claim):
    """Deliberate fault: claims of an owner that does not respond are taken over."""

    def _on_owner_answered(self, event, now):
        if event.outcome in ("dead", "unreachable", "pending"):
            return self._reclaim(self._other_version, now)
        return super()._on_owner_answered(event, now)


class IgnoresSendWindow(claims.Claim):
    """Deliberate fault: a node sends after a pause that exceeds the send window."""

    def _is_in_send_window(self, now):
        return True


class AssumesLostWriteSucceeded(claims.Claim):
    """Deliberate fault: a write whose response was lost counts as successful."""

    def _read(self, now, delay_s=0.0):
        if self._may_exist and self._phase == "writing":
            return self._proceed()
        return super()._read(now, delay_s)


class ReleasesUnknownOutcome(claims.Claim):
    """Deliberate fault: a request with an unknown outcome counts as not executed."""

    def give_up(self):
        record = super().give_up()
        if record.state == claim_record.UNKNOWN:
            self._record = record = type(record)(
                record.fingerprint,
                record.owner,
                record.token,
                claim_record.NOT_RUN,
                record.created_at,
            )
        return record


class PermitsSecondSend(claims.Claim):
    """Deliberate fault: the claim permits a second send."""

    def may_send(self, now):
        super().may_send(now)
        return True


class RetriesNonIdempotent(execution.Execution):
    """Deliberate fault: non-idempotent requests are retried after any failure."""

    def on_failure(self, attempt_id, error, now):
        self._idempotent = True
        return super().on_failure(attempt_id, error, now)


class AlwaysReportsNotExecuted(execution.Execution):
    """Deliberate fault: every refusal states that the request was not executed."""

    @property
    def executed(self):
        return request_errors.EXECUTED_NO


class TreatsBrokenAsRefused(execution.Execution):
    """Deliberate fault: a connection that broke after sending counts as refused."""

    def on_failure(self, attempt_id, error, now):
        if isinstance(error, endpoint_errors.ConnectionBroken):
            error = endpoint_errors.ConnectionRefused(str(error))
        return super().on_failure(attempt_id, error, now)


class ReplaysOtherResponse(claims.Claim):
    """Deliberate fault: the claim replays the response to another request."""

    def _replay(self, response):
        return claim_decisions.Replay(
            type(response)(response.status, response.headers, b"another booked")
        )


@pytest.mark.parametrize(
    ("check", "types"),
    [
        (duplicate_executions, {"claim_type": TakesOverClaims}),
        (duplicate_executions, {"claim_type": IgnoresSendWindow}),
        (duplicate_executions, {"claim_type": AssumesLostWriteSucceeded}),
        (duplicate_executions, {"claim_type": ReleasesUnknownOutcome}),
        (
            duplicate_executions,
            {"claim_type": PermitsSecondSend, "execution_type": RetriesNonIdempotent},
        ),
        (false_refusals, {"execution_type": AlwaysReportsNotExecuted}),
        (false_refusals, {"execution_type": TreatsBrokenAsRefused}),
        (wrong_responses, {"claim_type": ReplaysOtherResponse}),
    ],
)
def test_checks_detect_deliberate_faults(check, types):
    """Guards against checks that would pass without the mechanism that they cover."""
    for seed in range(SCHEDULES):
        if check(keyed_request_simulation.KeyedRequestSimulation(seed, **types).run()):
            return
    pytest.fail("no simulation showed the deliberate fault")
