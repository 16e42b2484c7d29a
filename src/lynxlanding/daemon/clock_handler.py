"""WSGI handler that returns the monotonic clock of this node to other nodes."""

import time

from lynxlanding.gateway import json_response

PATH = "/peer/v1/clock"


class ClockHandler:
    """Responds to GET with the identity and the current time of the monotonic clock.

    Parameters
    ----------
    clock_id : str
        Identity of the clock, which changes at every start of the node.
    """

    def __init__(self, clock_id):
        self._clock_id = clock_id

    def __call__(self, environ, start_response):
        """Serve one request."""
        del environ
        return json_response.send(
            start_response, 200, {"clock": self._clock_id, "now": time.monotonic()}
        )
