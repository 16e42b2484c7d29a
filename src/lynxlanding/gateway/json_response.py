"""JSON responses and refusals."""

import http
import json
import math


def send(start_response, status, document, headers=()):
    """Start a JSON response and return its body.

    Parameters
    ----------
    start_response : callable
        Of the WSGI server.
    status : int
        HTTP status.
    document : object
        JSON value.
    headers : sequence of (str, str)
        Further headers.

    Returns
    -------
    list of bytes
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
    """Return the status with its reason phrase."""
    try:
        return f"{status} {http.HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Unknown"


def error_document(error):
    """Return the body of a refusal for an ``errors.request.RequestError``."""
    return {"error": {"type": error.type_name, "message": str(error), "executed": error.executed}}


def refuse(start_response, error, request_id):
    """Start a refusal and return its body."""
    headers = [("X-Request-Id", request_id), ("X-Executed", error.executed)]
    if error.status in (429, 503):
        seconds = 1.0 if error.retry_after_s is None else error.retry_after_s
        headers.append(("Retry-After", str(max(1, math.ceil(seconds)))))
    if error.status == 401:
        headers.append(("WWW-Authenticate", "Bearer"))
    return send(start_response, error.status, error_document(error), headers)
