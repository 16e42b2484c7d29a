"""What an endpoint's headers say about a response."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointLoad:
    """Requests that run and wait at an endpoint, and its slots."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(slots=True, frozen=True)
class ResponseMarks:
    """Decoded headers of a response.

    Parameters
    ----------
    request_id : str or None
        Request that the response belongs to.
    is_sealed : bool
        Whether the endpoint signed the response.
    was_not_run : bool
        Whether the endpoint states that it did not run the request.
    load : EndpointLoad or None
        Load of the endpoint.
    is_encoded : bool
        Whether something on the way changed the encoding of the body.
    closes_connection : bool
        Whether the endpoint closes the connection after the response.
    idle_timeout_s : float or None
        How long the endpoint keeps an idle connection.
    """

    request_id: str | None
    is_sealed: bool
    was_not_run: bool
    load: EndpointLoad | None
    is_encoded: bool
    closes_connection: bool
    idle_timeout_s: float | None
