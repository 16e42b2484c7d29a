"""WSGI applications for callers and peers."""

from lynxlanding.gateway import (
    caller_app,
    claim_app,
    error_task,
    http_server,
    peer_app,
    request_parser,
)

__all__ = ["caller_app", "claim_app", "error_task", "http_server", "peer_app", "request_parser"]
