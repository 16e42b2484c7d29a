"""Input and results of endpoint selection."""

import dataclasses

from lynxlanding.dispatch import cost_model
from lynxlanding.fleet import endpoint_record
from lynxlanding.traffic import route as traffic_route

# Reasons of refusals where every endpoint has a limit and this node's part of it is used up.
ALL_LIMITED = "every endpoint has reached its limit"
ALL_LIMITED_SOME_COLD = "every endpoint has reached its limit, some of them since they are cold"


@dataclasses.dataclass(slots=True, frozen=True)
class DispatchQuery:
    """What the dispatcher needs to know to select an endpoint for a request.

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
        Estimated size of the request.
    time_left_s : float
        Time until the deadline of the request.
    excluded : frozenset of str
        Ids of the endpoints that have already been tried.
    priority : int
        Rank of the request; 0 is the most urgent.
    """

    request_id: str
    service: str
    route: traffic_route.Route
    model: str | None
    work: cost_model.Work
    time_left_s: float
    excluded: frozenset
    priority: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Send:
    """Decision to send the request to an endpoint.

    Parameters
    ----------
    record : EndpointRecord
        Selected endpoint.
    load : float
        Estimated number of running and queued requests at the endpoint.
    expected_s : float
        Time to the first event on an engine of normal speed; 0 for plain services.
    predicted_s : float
        Time to the first event on this endpoint, given its recent slowness; 0 for plain services.
    first_event_timeout_s : float
        Time without a first event or response after which the endpoint counts as stalled.
    stall_timeout_s : float
        Time between two events after which the endpoint counts as stalled.
    limit_per_s : float or None
        Requests a second that the endpoint takes from all nodes together, if it has a limit. The
        request is then counted in this node's allowance.
    allowed_per_s : float or None
        This node's part of the limit.
    load_age_s : float or None
        Mean age of what other nodes have reported about the load; None for plain services.
    """

    record: endpoint_record.EndpointRecord
    load: float
    expected_s: float
    predicted_s: float
    first_event_timeout_s: float
    stall_timeout_s: float
    limit_per_s: float | None = None
    allowed_per_s: float | None = None
    load_age_s: float | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Refuse:
    """Decision to refuse the request.

    Parameters
    ----------
    reason : str
        Why it is refused.
    retry_after_s : float
        Time after which it is likely to be served, in seconds.
    inputs : dict
        Log fields with what the decision was based on, if capacity is short.
    """

    reason: str
    retry_after_s: float
    inputs: dict = dataclasses.field(default_factory=dict)
