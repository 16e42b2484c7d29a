"""Sends single HTTP calls to a store and maps failures to exception types."""

import urllib3

from lynxlanding.errors import platform as platform_errors
from lynxlanding.transport import json_document


def send(
    pool,
    method,
    url,
    *,
    body=None,
    headers=None,
    timeout,
    is_write,
    errors_by_status,
    on_headers=None,
):
    """Send a call and return the decoded JSON body, or None if the body is empty.

    Parameters
    ----------
    pool : urllib3.PoolManager
        Connection pool. Calls are not retried, since only the caller knows whether that is safe.
    method, url : str
        HTTP method and URL.
    body : bytes or None
        Encoded body.
    headers : dict or None
        HTTP headers.
    timeout : urllib3.Timeout
        Connect and read timeouts, in seconds.
    is_write : bool
        Whether the call changes the store. Such a call may take effect without a response, so its
        outcome is unknown if it fails once the connection is established.
    errors_by_status : dict of int to type
        Exception types by HTTP status with which the store refuses a call.
    on_headers : callable, optional
        Called with the headers of each response, also of refusals, before anything else is done
        with it. It may raise a ``PlatformError``.

    Raises
    ------
    errors.platform.PlatformError
        If the call failed or was refused, or if its outcome is unknown.
    """
    failure_type = platform_errors.StoreUnavailable
    if is_write:
        failure_type = platform_errors.StoreOutcomeUnknown
    call = f"{method} {url}"
    try:
        response = pool.request(
            method, url, body=body, headers=headers or {}, retries=False, timeout=timeout
        )
    except (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError) as e:
        raise platform_errors.StoreUnavailable(f"{call}: {e}") from e
    except urllib3.exceptions.HTTPError as e:
        raise failure_type(f"{call}: {e}") from e
    if on_headers is not None:
        on_headers(response.headers)
    error_type = errors_by_status.get(response.status)
    if error_type is not None:
        raise error_type(f"{call}: status {response.status}")
    if response.status >= 300:
        raise failure_type(f"{call}: status {response.status}")
    if response.status == 204 or not response.data:
        return None
    try:
        return json_document.decode(response.data)
    except ValueError as e:
        raise platform_errors.MalformedPlatformResponse(f"{call}: {e}") from e
