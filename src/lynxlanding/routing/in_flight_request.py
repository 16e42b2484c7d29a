"""Count of one request in flight."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Ticket:
    """A request that is counted as in flight at an endpoint.

    Parameters
    ----------
    address : str
        ``host:port`` of the endpoint.
    generation : int
        Number of the endpoint's instance when the request was sent. A ticket of an earlier
        instance no longer changes the counts.
    """

    address: str
    generation: int
