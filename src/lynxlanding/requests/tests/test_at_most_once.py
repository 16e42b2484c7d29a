"""G4 and G5 over seeded fault schedules, and that each check sees its mechanism's absence."""

import collections

import pytest

from lynxlanding.errors import endpoint as endpoint_errors
from lynxlanding.errors import request as request_errors
from lynxlanding.requests import claim_decisions, claim_record, claims, execution
from lynxlanding.requests.tests import fault_kinds, keyed_request_simulation

SCHEDULES = 1012
# A reused key belongs to another request. Every other ``executed: no`` speaks about every
# submission of the key, since the key names the request.
SUBMISSION_REFUSALS = (request_errors.KeyReused,)


def duplicates(world):
    """G5: keys that ran more than once."""
    counts = collections.Counter(key for key, _, _ in world.executions)
    return [key for key, count in counts.items() if count > 1]


def false_refusals(world):
    """G4: refusals with ``executed: no`` although the request ran."""
    ran = {submission for _, submission, _ in world.executions}
    found = []
    for answer in world.answers:
        if answer.error is None or answer.error.executed != request_errors.EXECUTED_NO:
            continue
        if answer.submission in ran:
            found.append(answer)
        if isinstance(answer.error, SUBMISSION_REFUSALS):
            continue
        if any(at <= answer.at for _, _, at in world.runs(answer.key)):
            found.append(answer)
    return found


def wrong_responses(world):
    """G3 for keyed requests: responses of another request, or without any execution."""
    found = []
    for answer in world.answers:
        if answer.body is None:
            continue
        if answer.body != f"{answer.key} booked".encode() or not world.runs(answer.key):
            found.append(answer)
    return found


def test_schedules_keep_the_guarantees():
    """Guards against duplicate executions, false refusals and wrong replays."""
    totals = collections.Counter()
    outcomes = collections.Counter()
    for seed in range(SCHEDULES):
        world = keyed_request_simulation.KeyedWorld(seed).run()
        assert not duplicates(world), f"seed {seed}: {world.executions}"
        assert not false_refusals(world), f"seed {seed}: {world.answers}"
        assert not wrong_responses(world), f"seed {seed}: {world.answers}"
        totals.update(set(world.faults))
        for answer in world.answers:
            outcomes["answered" if answer.error is None else answer.error.type_name] += 1
    # The schedules must exercise what they are meant to exercise.
    assert all(totals[kind] >= 150 for kind in fault_kinds.KINDS)
    assert outcomes["answered"] > SCHEDULES
    for type_name in ("outcome_unknown", "endpoint_failed", "overloaded", "no_endpoint"):
        assert outcomes[type_name] > 100, outcomes
    assert outcomes["claims_unavailable"] > 10, outcomes


class TakesOverClaims(claims.Claim):
    """Planted fault: claims of an owner that does not answer are taken over."""

    def _on_owner_answered(self, event, now):
        if event.outcome in ("dead", "unreachable", "pending"):
            return self._reclaim(self._other_version, now)
        return super()._on_owner_answered(event, now)


class IgnoresWindow(claims.Claim):
    """Planted fault: a node that was paused sends after its window."""

    def _is_in_send_window(self, now):
        return True


class TrustsLostAnswer(claims.Claim):
    """Planted fault: a lost answer counts as a claim."""

    def _read(self, now, delay_s=0.0):
        if self._may_exist and self._phase == "writing":
            return self._proceed()
        return super()._read(now, delay_s)


class RunsUnknownAgain(claims.Claim):
    """Planted fault: a broken connection counts as not run."""

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


class RepeatsSends(claims.Claim):
    """Planted fault: the claim permits a second send."""

    def may_send(self, now):
        super().may_send(now)
        return True


class RepeatsEverything(execution.Execution):
    """Planted fault: non-idempotent requests are retried after any failure."""

    def on_failure(self, attempt_id, error, now):
        self._idempotent = True
        return super().on_failure(attempt_id, error, now)


class AlwaysSaysNo(execution.Execution):
    """Planted fault: every refusal says that the request did not run."""

    @property
    def executed(self):
        return request_errors.EXECUTED_NO


class TrustsBrokenConnections(execution.Execution):
    """Planted fault: a connection that broke after sending counts as refused."""

    def on_failure(self, attempt_id, error, now):
        if isinstance(error, endpoint_errors.ConnectionBroken):
            error = endpoint_errors.ConnectionRefused(str(error))
        return super().on_failure(attempt_id, error, now)


class ReplaysAnything(claims.Claim):
    """Planted fault: the claim is not compared with the request and may hold another response."""

    def _replay(self, response):
        return claim_decisions.Replay(
            type(response)(response.status, response.headers, b"another booked")
        )


@pytest.mark.parametrize(
    ("check", "types"),
    [
        (duplicates, {"claim_type": TakesOverClaims}),
        (duplicates, {"claim_type": IgnoresWindow}),
        (duplicates, {"claim_type": TrustsLostAnswer}),
        (duplicates, {"claim_type": RunsUnknownAgain}),
        (duplicates, {"claim_type": RepeatsSends, "execution_type": RepeatsEverything}),
        (false_refusals, {"execution_type": AlwaysSaysNo}),
        (false_refusals, {"execution_type": TrustsBrokenConnections}),
        (wrong_responses, {"claim_type": ReplaysAnything}),
    ],
)
def test_checks_see_planted_faults(check, types):
    """Guards against a property test that would pass without the mechanism it tests."""
    for seed in range(SCHEDULES):
        if check(keyed_request_simulation.KeyedWorld(seed, **types).run()):
            return
    pytest.fail("no schedule showed the planted fault")
