"""JSON responses and error responses."""

import http
import json
import math


def send(start_response, status, document, headers=()):
    """Start a JSON response and return its body.

    Parameters
    ----------
    start_response : callable
        WSGI ``start_response`` function.
    status : int
        HTTP status.
    document : object
        Value that can be encoded as JSON.
    headers : sequence of (str, str)
        Additional headers.

    Returns
    -------
    list of bytes
        Response body.
    """
    body = json.dumps(document).encode()
    all_headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
        *headers,
    ]
    start_response(status_line(status), all_headers)
    return [body]


def status_line(status):
    """Return the HTTP status with its reason phrase, such as ``404 Not Found``."""
    try:
        return f"{status} {http.HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Unknown"


def error_document(error):
    """Return the JSON document that reports an ``errors.request.RequestError``."""
    return {"error": {"type": error.type_name, "message": str(error), "executed": error.executed}}


def send_error(start_response, error, request_id):
    """Start the error response for a ``RequestError`` and return its body."""
    headers = [("X-Request-Id", request_id), ("X-Executed", error.executed)]
    if error.status in (429, 503):
        retry_after_s = 1.0 if error.retry_after_s is None else error.retry_after_s
        headers.append(("Retry-After", str(max(1, math.ceil(retry_after_s)))))
    if error.status == 401:
        headers.append(("WWW-Authenticate", "Bearer"))
    return send(start_response, error.status, error_document(error), headers)
