"""Result of one attempt, as far as routing needs it."""

import dataclasses

SUCCEEDED = "succeeded"
FAILED = "failed"
# The caller disconnected, or the request itself was in error: nothing is known of the endpoint.
CANCELLED = "cancelled"


@dataclasses.dataclass(slots=True, frozen=True)
class AttemptResult:
    """How an attempt at an endpoint ended.

    Parameters
    ----------
    outcome : {"succeeded", "failed", "cancelled"}
        Whether the endpoint responded properly.
    first_token_s : float or None
        Time from sending to the first token or byte, in seconds; None if there was none.
    """

    outcome: str
    first_token_s: float | None = None
