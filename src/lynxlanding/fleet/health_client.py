"""Interface of clients that check whether endpoints serve."""

from typing import Protocol

from lynxlanding.fleet import endpoint_record, health_check


class HealthClient(Protocol):
    """Asks endpoints about themselves."""

    def check(self, record: endpoint_record.EndpointRecord, path: str) -> health_check.HealthCheck:
        """Return the ``HealthCheck`` of an endpoint.

        ``path`` is that of the health check of the endpoint's service. Raises
        ``errors.endpoint.AttemptError`` if the endpoint does not respond.
        """
        ...
