"""What endpoints state about themselves in their responses."""

import dataclasses

# Names of the statements.
LIMIT = "limit"
LEAVING = "leaving"
RETRY_AFTER = "retry_after"
COLD = "cold"


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointStatements:
    """What an endpoint states about itself in a response.

    Parameters
    ----------
    limit_per_s : float or None
        Requests a second that the endpoint takes from all nodes together.
    is_leaving : bool
        Whether the endpoint is shutting down and takes no new requests.
    retry_after_s : float or None
        Time for which the endpoint wants no requests from the node, in seconds, if the response
        rejects one.
    cold_s : float or None
        Time for which the endpoint will be slow and fragile, in seconds.
    malformed : tuple of str
        Names of the fields whose statement is there but cannot be read.
    """

    limit_per_s: float | None = None
    is_leaving: bool = False
    retry_after_s: float | None = None
    cold_s: float | None = None
    malformed: tuple[str, ...] = ()
