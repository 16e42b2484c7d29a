"""Finds requests at endpoints that have said that they are leaving, as the users' rule does."""

import dataclasses

# A request that its caller sends later than this after the node was told must not reach the
# endpoint.
DRAIN_S = 2.0


@dataclasses.dataclass(slots=True, frozen=True)
class Attempt:
    """A request that has reached an endpoint.

    Parameters
    ----------
    sent_at : float
        When its caller sent it, monotonic seconds.
    at : float
        When the endpoint ran it, monotonic seconds.
    node : str
        Node that the caller sent it to.
    endpoint_id : str
        Endpoint that ran it.
    is_told : bool
        Whether the caller has got a response that says that the endpoint is leaving.
    """

    sent_at: float
    at: float
    node: str
    endpoint_id: str
    is_told: bool


def first_told(attempts, endpoint_id):
    """Return when each node first got a response that says that the endpoint is leaving.

    The time is that of the run, which is earlier than the response.
    """
    told_at = {}
    for attempt in attempts:
        if attempt.endpoint_id == endpoint_id and attempt.is_told:
            told_at[attempt.node] = min(attempt.at, told_at.get(attempt.node, attempt.at))
    return told_at


def late_attempts(attempts, endpoint_id):
    """Return the requests that nodes sent to the endpoint although they had been told."""
    told_at = first_told(attempts, endpoint_id)
    late = []
    for attempt in attempts:
        if attempt.endpoint_id != endpoint_id or attempt.node not in told_at:
            continue
        if attempt.sent_at > told_at[attempt.node] + DRAIN_S:
            late.append(attempt)
    return late


def late_attempts_of_all(attempts, endpoint_id):
    """Return the requests to the endpoint from any node, counted from the first node's response."""
    told_at = first_told(attempts, endpoint_id)
    if not told_at:
        return []
    bound = min(told_at.values()) + DRAIN_S
    return [item for item in attempts if item.endpoint_id == endpoint_id and item.sent_at > bound]
