"""WSGI application for other nodes and operators."""

from lynxlanding.gateway import json_response


class PeerApp:
    """Dispatches by path prefix; other packages register their handlers."""

    def __init__(self):
        self._handlers = []

    def register(self, prefix, handler):
        """Serve paths that start with ``prefix`` by the WSGI application ``handler``."""
        self._handlers.append((prefix, handler))

    def __call__(self, environ, start_response):
        """Serve one request."""
        path = environ.get("PATH_INFO", "")
        for prefix, handler in self._handlers:
            if path.startswith(prefix):
                return handler(environ, start_response)
        return json_response.send(start_response, 404, {"error": {"type": "not_found"}})
