"""Admission decision about a request."""

import dataclasses

ADMITTED = "admitted"
QUEUED = "queued"
REFUSED = "refused"

# Reasons for refusal.
DEADLINE = "deadline"
QUEUE_FULL = "queue_full"
NO_CAPACITY = "no_capacity"


@dataclasses.dataclass(slots=True, frozen=True)
class Decision:
    """Outcome of admission for one request.

    Parameters
    ----------
    request_id : str
        Id of the request.
    outcome : {"admitted", "queued", "refused"}
        Outcome; a queued request gets a second decision later, unless it is released before.
    within_share : bool
        Whether the request is within its workspace's share.
    reason : {"deadline", "queue_full", "no_capacity"} or None
        Reason for the refusal, or None if the request was not refused.
    retry_after_s : float or None
        Seconds after which a refused caller should retry.
    """

    request_id: str
    outcome: str
    within_share: bool
    reason: str | None = None
    retry_after_s: float | None = None
