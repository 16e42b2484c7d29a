"""Measurements of one finished request."""

import dataclasses

WHOLE = "whole"
REFUSED = "refused"
BROKEN = "broken"
ABANDONED = "abandoned"


@dataclasses.dataclass(slots=True, frozen=True)
class RequestSummary:
    """Data of a request for metrics and logs; contains no bearer token, prompt or body.

    Parameters
    ----------
    request_id : str
        Id of the request.
    workspace, service : str
        Workspace and target of the request, which is a model or a plain service; empty if the
        request was refused before they were known.
    result : {"whole", "refused", "broken", "abandoned"}
        ``abandoned`` means that the caller closed the connection before the end.
    status : int
        HTTP status.
    error_type : str
        Type of the error; empty if there was none.
    executed : str
        Value of ``X-Executed``; empty if there was none.
    duration_s : float
        Time from arrival to the end.
    first_token_s : float or None
        Time from arrival to the first event of a stream; None if there was no event.
    tokens : int
        Number of events of the stream.
    slow_gaps : int
        Number of gaps between events that exceed the objective's threshold.
    is_stream : bool
        Whether the caller requested a stream.
    """

    request_id: str
    workspace: str
    service: str
    result: str
    status: int
    error_type: str
    executed: str
    duration_s: float
    first_token_s: float | None
    tokens: int
    slow_gaps: int
    is_stream: bool
