"""Result of one attempt, reduced to what routing needs."""

import dataclasses

SUCCEEDED = "succeeded"
FAILED = "failed"
# The caller disconnected or the request was invalid, which says nothing about the endpoint.
CANCELLED = "cancelled"


@dataclasses.dataclass(slots=True, frozen=True)
class AttemptResult:
    """How an attempt at an endpoint ended.

    Parameters
    ----------
    outcome : {"succeeded", "failed", "cancelled"}
        Whether the endpoint responded correctly.
    first_token_s : float or None
        Time from sending the request to the first token, or to the response of a plain service,
        in seconds; None if there was none.
    """

    outcome: str
    first_token_s: float | None = None
