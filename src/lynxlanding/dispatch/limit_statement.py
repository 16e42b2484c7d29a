"""What an endpoint has stated about the rate of requests that it takes."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class LimitStatement:
    """Statement of one incarnation of an endpoint.

    Parameters
    ----------
    started_ms : int
        Start of the incarnation, in Unix milliseconds of its own clock.
    limit_per_s : float or None
        Requests a second that the endpoint takes from all nodes together; None if it no longer
        states a limit.
    stated_at : float
        Monotonic seconds. A limit holds at least until the response that states it arrives, and
        its end is certain only for requests sent after it. So this is the arrival of the response
        for a limit, and the sending of the request for the end of one.
    """

    started_ms: int
    limit_per_s: float | None
    stated_at: float


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointStatement:
    """A statement together with the endpoint that made it."""

    endpoint_id: str
    statement: LimitStatement


@dataclasses.dataclass(slots=True, frozen=True)
class LimitChange:
    """Change of the limit that a node believes to be in force.

    Parameters
    ----------
    endpoint_id : str
        Endpoint that states the limit.
    limit_per_s, known_limit_per_s : float or None
        Limit after and before the change; None means no limit.
    source : str
        Id of the node that received the response.
    age_s : float
        Time since the statement, in seconds.
    """

    endpoint_id: str
    limit_per_s: float | None
    known_limit_per_s: float | None
    source: str
    age_s: float
