"""What a claim learns from the store and from the owner of another claim."""

import dataclasses

from lynxlanding.requests import claim_record, recorded_response

PENDING = "pending"
FORGOTTEN = "forgotten"
DEAD = "dead"
UNREACHABLE = "unreachable"


@dataclasses.dataclass(slots=True, frozen=True)
class Written:
    """The create or conditional update succeeded and gave this version."""

    version: int


@dataclasses.dataclass(slots=True, frozen=True)
class Rejected:
    """The claim exists already, or the conditional update named an old version."""


@dataclasses.dataclass(slots=True, frozen=True)
class Read:
    """The store returned the claim."""

    version: int
    record: claim_record.ClaimRecord


@dataclasses.dataclass(slots=True, frozen=True)
class Missing:
    """The store has no such claim."""


@dataclasses.dataclass(slots=True, frozen=True)
class StoreFailed:
    """The store refused the call or was not reached; the call changed nothing."""


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerLost:
    """The call may or may not have taken effect, or may still do so."""


@dataclasses.dataclass(slots=True, frozen=True)
class Malformed:
    """The stored claim cannot be decoded."""


@dataclasses.dataclass(slots=True, frozen=True)
class OwnerAnswered:
    """What the owner says about its claim.

    Parameters
    ----------
    outcome : str
        A final state of ``claim_record``, or: ``pending`` (still running), ``forgotten`` (the
        owner has no such claim in memory), ``dead`` (the process that held the claim is gone),
        ``unreachable`` (no answer in time).
    response : RecordedResponse or None
        The response, in state ``done``.
    """

    outcome: str
    response: recorded_response.RecordedResponse | None = None
