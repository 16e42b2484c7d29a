"""HTTP client for the health checks of endpoints."""

from lynxlanding.platform import endpoint_call, sockets
from lynxlanding.transport import guarded_connection

# A healthy endpoint with a free slot responds within a few milliseconds.
HEALTH_TIMEOUT_S = 0.4

_INSTANCE_HEADER = "X-Instance-Id"


class PlatformHealthClient:
    """Checks endpoints, without retries."""

    def __init__(self):
        self._pool = guarded_connection.make_pool_manager(
            endpoint_call.MAX_BODY_BYTES,
            num_pools=16,
            maxsize=1,
            socket_options=sockets.OPTIONS,
            retries=False,
        )

    def is_serving(self, record, path):
        """Return whether an endpoint considers itself healthy and not leaving.

        Parameters
        ----------
        record : EndpointRecord
            Endpoint to check.
        path : str
            Path of the service's health check.

        Raises
        ------
        errors.endpoint.AttemptError
            If the endpoint cannot be connected to or does not respond.
        """
        response = endpoint_call.get(self._pool, record, path, HEALTH_TIMEOUT_S)
        return (
            response.status == 200 and response.headers.get(_INSTANCE_HEADER) == record.endpoint_id
        )
