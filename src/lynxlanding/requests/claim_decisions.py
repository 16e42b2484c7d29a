"""What a claim asks its driver to do."""

import dataclasses

from lynxlanding.errors import request as request_errors
from lynxlanding.requests import claim_record, node_identity, recorded_response


@dataclasses.dataclass(slots=True, frozen=True)
class CreateClaim:
    """Create the claim in the store."""

    record: claim_record.ClaimRecord


@dataclasses.dataclass(slots=True, frozen=True)
class UpdateClaim:
    """Replace the claim if it still has this version."""

    record: claim_record.ClaimRecord
    version: int


@dataclasses.dataclass(slots=True, frozen=True)
class ReadClaim:
    """Read the claim after a delay in seconds."""

    delay_s: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class AskOwner:
    """Ask the owner for the outcome of its claim and wait up to ``wait_s`` seconds."""

    owner: node_identity.NodeIdentity
    token: str
    wait_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class Proceed:
    """The request is claimed; ``Claim.may_send`` permits each send."""


@dataclasses.dataclass(slots=True, frozen=True)
class Replay:
    """Answer with the response of the earlier execution."""

    response: recorded_response.RecordedResponse


@dataclasses.dataclass(slots=True, frozen=True)
class Refuse:
    """Answer with a refusal; the request is not sent."""

    error: request_errors.RequestError
