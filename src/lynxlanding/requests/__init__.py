"""Request identity, claims, attempts and the stream relay."""

from lynxlanding.requests import (
    attempt_monitor,
    caller_request,
    endpoint_client,
    endpoint_response,
    event_splitter,
    request_runner,
)

__all__ = [
    "attempt_monitor",
    "caller_request",
    "endpoint_client",
    "endpoint_response",
    "event_splitter",
    "request_runner",
]
