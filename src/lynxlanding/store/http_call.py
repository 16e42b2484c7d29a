"""One call to a store over HTTP, with its failures told apart."""

import json

import urllib3

from lynxlanding.errors import platform as platform_errors


def send(pool, method, url, *, body=None, headers=None, timeout, is_change, refusals):
    """Send a call and return the decoded body; None if there is none.

    Parameters
    ----------
    pool : urllib3.PoolManager
        Connections; a call is never repeated here, since only the caller knows whether that is
        safe.
    method, url : str
        The call.
    body : bytes or None
        Encoded body.
    headers : dict or None
        Headers.
    timeout : urllib3.Timeout
        Limits of connecting and reading, in seconds.
    is_change : bool
        Whether the call may take effect without an answer.
    refusals : dict of int to type
        Error for each status that the store refuses with.

    Raises
    ------
    errors.platform.PlatformError
        If the call was refused, or its outcome is unknown.
    """
    unanswered = platform_errors.StoreUnavailable
    if is_change:
        unanswered = platform_errors.StoreOutcomeUnknown
    call = f"{method} {url}"
    try:
        response = pool.request(
            method, url, body=body, headers=headers or {}, retries=False, timeout=timeout
        )
    except (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError) as e:
        raise platform_errors.StoreUnavailable(f"{call}: {e}") from e
    except urllib3.exceptions.HTTPError as e:
        raise unanswered(f"{call}: {e}") from e
    refusal = refusals.get(response.status)
    if refusal is not None:
        raise refusal(f"{call}: status {response.status}")
    if response.status >= 300:
        raise unanswered(f"{call}: status {response.status}")
    if response.status == 204 or not response.data:
        return None
    try:
        return json.loads(response.data)
    except ValueError as e:
        raise platform_errors.MalformedPlatformAnswer(f"{call}: {e}") from e
