"""Question and decisions of the dispatcher."""

import dataclasses

from lynxlanding.dispatch import cost_model
from lynxlanding.fleet import endpoint_record
from lynxlanding.traffic import route as traffic_route


@dataclasses.dataclass(slots=True, frozen=True)
class Question:
    """Where a request may go.

    Parameters
    ----------
    request_id : str
        Identity of the request.
    service : str
        Service to choose from.
    route : Route
        Route of the request.
    model : str or None
        Requested model.
    work : Work
        Size of the request.
    time_left_s : float
        Time until the caller gives up.
    excluded : frozenset of str
        Endpoints that were tried already.
    """

    request_id: str
    service: str
    route: traffic_route.Route
    model: str | None
    work: cost_model.Work
    time_left_s: float
    excluded: frozenset


@dataclasses.dataclass(slots=True, frozen=True)
class Send:
    """Send the request.

    Parameters
    ----------
    record : EndpointRecord
        Endpoint.
    present : int
        Requests that run or wait there.
    expected_s : float
        Time to the first event at an engine of normal speed; 0 for plain services.
    predicted_s : float
        The same at this endpoint, by its speed of late.
    first_stall_s : float
        Time to the first event or response after which the endpoint counts as stalled.
    stall_s : float
        Time between two events after which the endpoint counts as stalled.
    """

    record: endpoint_record.EndpointRecord
    present: int
    expected_s: float
    predicted_s: float
    first_stall_s: float
    stall_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class Refuse:
    """Refuse the request."""

    reason: str
    retry_after_s: float
