"""Decision about one request."""

import dataclasses

ADMITTED = "admitted"
QUEUED = "queued"
REFUSED = "refused"

# Reasons of refusals.
DEADLINE = "deadline"
QUEUE_FULL = "queue_full"
NO_CAPACITY = "no_capacity"


@dataclasses.dataclass(slots=True, frozen=True)
class Decision:
    """What happens to a request.

    Parameters
    ----------
    request_id : str
        Identity of the request.
    outcome : {"admitted", "queued", "refused"}
        A queued request gets a second decision later.
    within_share : bool
        Whether the request is within its workspace's share.
    reason : {"deadline", "queue_full", "no_capacity"} or None
        Why it was refused.
    retry_after_s : float or None
        When a refused caller should try again, in seconds.
    """

    request_id: str
    outcome: str
    within_share: bool
    reason: str | None = None
    retry_after_s: float | None = None
