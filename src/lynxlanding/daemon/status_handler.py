"""WSGI handler that returns the status of a node."""

import pykka

from lynxlanding.gateway import json_response

PATH = "/peer/v1/status"


class StatusHandler:
    """Responds to GET with the status of configuration and membership.

    Parameters
    ----------
    describe : callable
        Returns the status as a JSON-serialisable document.
    """

    def __init__(self, describe):
        self._describe = describe

    def __call__(self, environ, start_response):
        """Serve one request."""
        del environ
        try:
            document = self._describe()
        except (pykka.Timeout, pykka.ActorDeadError):
            return json_response.send(start_response, 503, {"error": {"type": "node_stopping"}})
        return json_response.send(start_response, 200, document)
