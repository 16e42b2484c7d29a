"""Events for ``claims.Claim``: results of store calls and outcomes reported by claim owners."""

import dataclasses

from lynxlanding.requests import claim_record, recorded_response

PENDING = "pending"
FORGOTTEN = "forgotten"
DEAD = "dead"
UNREACHABLE = "unreachable"


@dataclasses.dataclass(slots=True, frozen=True)
class Written:
    """The create or conditional update succeeded and resulted in this version."""

    version: int


@dataclasses.dataclass(slots=True, frozen=True)
class Rejected:
    """The claim already exists, or the conditional update named an old version."""


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
    """The store refused the call or could not be reached; nothing was changed."""


@dataclasses.dataclass(slots=True, frozen=True)
class StoreOutcomeUnknown:
    """The result of a write was lost; it may have taken effect, or may still do so."""


@dataclasses.dataclass(slots=True, frozen=True)
class Malformed:
    """The stored claim cannot be decoded."""


@dataclasses.dataclass(slots=True, frozen=True)
class OwnerAnswered:
    """Outcome of a claim according to its owner.

    Parameters
    ----------
    outcome : str
        A final state of ``claim_record``, or: ``pending`` (still running), ``forgotten`` (the
        owner has no such claim in memory), ``dead`` (the process that owned the claim has ended),
        ``unreachable`` (no response in time).
    response : RecordedResponse or None
        The response, in state ``done``.
    """

    outcome: str
    response: recorded_response.RecordedResponse | None = None
