"""Figures of one finished request."""

import dataclasses

WHOLE = "whole"
REFUSED = "refused"
BROKEN = "broken"
ABANDONED = "abandoned"


@dataclasses.dataclass(slots=True, frozen=True)
class RequestSummary:
    """What is counted and logged of a request; holds no token, prompt or body.

    Parameters
    ----------
    request_id : str
        Identity of the request.
    workspace, service : str
        Workspace, and model or plain service; empty if the request was refused before they were
        known.
    result : {"whole", "refused", "broken", "abandoned"}
        ``abandoned`` means that the caller closed the connection first.
    status : int
        HTTP status.
    error_type : str
        Type name of the refusal or failure; empty if there was none.
    executed : str
        Value of ``X-Executed``; empty if there was none.
    duration_s : float
        Time from arrival to the end.
    first_token_s : float or None
        Time from arrival to the first event of a stream.
    tokens : int
        Events of the stream.
    slow_gaps : int
        Gaps between events above the objective's threshold.
    is_stream : bool
        Whether a stream was asked for.
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
