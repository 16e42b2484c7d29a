"""WSGI handler that tells the other nodes this node's monotonic clock."""

import time

from lynxlanding.gateway import json_response

PATH = "/peer/v1/clock"


class ClockHandler:
    """Answers GET with the identity and the time of this node's clock.

    Parameters
    ----------
    clock : str
        Identity of the clock, different after every start of the node.
    """

    def __init__(self, clock):
        self._clock = clock

    def __call__(self, environ, start_response):
        """Serve one request."""
        del environ
        return json_response.send(
            start_response, 200, {"clock": self._clock, "now": time.monotonic()}
        )
