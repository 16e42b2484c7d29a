"""WSGI application for other nodes and operators."""

from lynxlanding.gateway import json_response


class PeerApp:
    """Routes requests by path prefix to the handlers that other packages register."""

    def __init__(self):
        self._handlers = []

    def register(self, prefix, handler):
        """Route paths that start with ``prefix`` to the WSGI application ``handler``.

        The handler that was registered first wins if several prefixes match.
        """
        self._handlers.append((prefix, handler))

    def __call__(self, environ, start_response):
        """Serve one request."""
        path = environ.get("PATH_INFO", "")
        for prefix, handler in self._handlers:
            if path.startswith(prefix):
                return handler(environ, start_response)
        return json_response.send(start_response, 404, {"error": {"type": "not_found"}})
