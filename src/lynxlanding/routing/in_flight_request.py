"""Handle of a request in flight."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class InFlightRequest:
    """A request that is counted as in flight at an endpoint.

    ``EndpointView.begin_request`` returns it, and ``EndpointView.end_request`` takes it.

    Parameters
    ----------
    address : str
        ``host:port`` of the endpoint.
    generation : int
        Number of the endpoint's instance when the request was sent; it grows with each restart.
        The end of a request to an earlier instance does not change the counts.
    """

    address: str
    generation: int
