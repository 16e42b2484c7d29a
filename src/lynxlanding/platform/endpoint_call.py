"""Calls to an endpoint that are not requests of callers."""

import urllib3

from lynxlanding.errors import endpoint as endpoint_errors
from lynxlanding.platform import request_headers

# Reports have some hundred bytes, and the other responses fewer.
MAX_BODY_BYTES = 256 * 1024


def get(pool, record, path, timeout_s):
    """Send a GET to an endpoint and return the response.

    Another endpoint that has the same address by now refuses the call.

    Parameters
    ----------
    pool : urllib3.PoolManager
        Connections to endpoints.
    record : EndpointRecord
        Endpoint to call.
    path : str
        Path of the request.
    timeout_s : float
        Time to connect, and time for the whole response, in seconds.

    Raises
    ------
    errors.endpoint.AttemptError
        If the endpoint cannot be connected to or does not respond.
    """
    headers = {request_headers.EXPECT_INSTANCE: record.endpoint_id}
    try:
        return pool.request(
            "GET", f"http://{record.address}{path}", headers=headers, timeout=timeout_s
        )
    except urllib3.exceptions.NewConnectionError as e:
        raise endpoint_errors.ConnectionRefused(f"{record.address}: {e}") from e
    except urllib3.exceptions.HTTPError as e:
        raise endpoint_errors.AttemptTimedOut(f"{record.address}: {e}") from e
