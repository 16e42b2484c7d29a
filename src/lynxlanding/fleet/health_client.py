"""Interface of clients that check whether endpoints serve."""

from typing import Protocol

from lynxlanding.fleet import endpoint_record


class HealthClient(Protocol):
    """Asks endpoints about themselves."""

    def is_serving(self, record: endpoint_record.EndpointRecord, path: str) -> bool:
        """Return whether an endpoint considers itself healthy and not leaving.

        ``path`` is that of the health check of the endpoint's service. Raises
        ``errors.endpoint.AttemptError`` if the endpoint does not respond.
        """
        ...
