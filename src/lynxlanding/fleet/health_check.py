"""Result of a health check."""

import dataclasses

from lynxlanding.fleet import endpoint_statements


@dataclasses.dataclass(slots=True, frozen=True)
class HealthCheck:
    """Response of an endpoint to a health check.

    Parameters
    ----------
    is_serving : bool
        Whether the endpoint considers itself healthy and not leaving.
    status : int
        HTTP status.
    statements : EndpointStatements
        What the endpoint states about itself; nothing if another one has responded.
    """

    is_serving: bool
    status: int
    statements: endpoint_statements.EndpointStatements
