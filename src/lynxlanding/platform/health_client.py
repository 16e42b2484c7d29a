"""HTTP client for the health checks of endpoints."""

from lynxlanding.fleet import endpoint_statements, health_check
from lynxlanding.platform import endpoint_call, request_headers, sockets
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

    def check(self, record, path):
        """Return the ``HealthCheck`` of an endpoint.

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
        instance = response.headers.get(_INSTANCE_HEADER)
        is_own = instance == record.endpoint_id
        statements = endpoint_statements.EndpointStatements()
        metadata = request_headers.decode_response(list(response.headers.iteritems()))
        # Refusals may lack the instance. With 421, another endpoint refuses.
        is_refusal = metadata.was_not_run and response.status != 421
        if is_own or (is_refusal and instance is None):
            statements = metadata.statements
        return health_check.HealthCheck(
            is_own and response.status == 200, response.status, statements
        )
