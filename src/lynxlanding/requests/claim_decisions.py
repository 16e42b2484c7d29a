"""Actions that ``claims.Claim`` requests."""

import dataclasses

from lynxlanding.errors import request as request_errors
from lynxlanding.requests import claim_record, node_identity, recorded_response


@dataclasses.dataclass(slots=True, frozen=True)
class CreateClaim:
    """Create the claim in the store."""

    record: claim_record.ClaimRecord


@dataclasses.dataclass(slots=True, frozen=True)
class UpdateClaim:
    """Replace the stored claim if it still has this version."""

    record: claim_record.ClaimRecord
    version: int


@dataclasses.dataclass(slots=True, frozen=True)
class ReadClaim:
    """Read the claim after a delay in seconds."""

    delay_s: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class AskOwner:
    """Ask the owner for the outcome of its claim, waiting up to ``wait_s`` seconds."""

    owner: node_identity.NodeIdentity
    token: str
    wait_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class Proceed:
    """Go on: the request is claimed. ``Claim.may_send`` must permit each send."""


@dataclasses.dataclass(slots=True, frozen=True)
class Replay:
    """Return the response of an earlier execution to the caller."""

    response: recorded_response.RecordedResponse


@dataclasses.dataclass(slots=True, frozen=True)
class Refuse:
    """Refuse the request without sending it."""

    error: request_errors.RequestError
