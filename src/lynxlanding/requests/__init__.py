"""Request identity, claims, attempts and the stream relay."""

from lynxlanding.requests import (
    caller_request,
    endpoint_client,
    endpoint_response,
    event_splitter,
    request_runner,
)

__all__ = [
    "caller_request",
    "endpoint_client",
    "endpoint_response",
    "event_splitter",
    "request_runner",
]
