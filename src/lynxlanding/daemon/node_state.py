"""Node state shared by the listeners: configuration, readiness and requests in flight."""

import threading

from lynxlanding.configuration import snapshot


class NodeState:
    """Holds the state that every request reads.

    Reads take no lock and send no actor message, because they are on the path of every request.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._configuration = snapshot.empty()
        self._is_configured = False
        self._is_draining = False
        self._refuses_requests = False
        self._in_flight = 0

    @property
    def configuration(self):
        """The newest accepted snapshot."""
        return self._configuration

    @property
    def is_ready(self):
        """Whether the load balancer may send requests to this node."""
        return self._is_configured and not self._is_draining

    @property
    def in_flight(self):
        """Number of requests in flight."""
        return self._in_flight

    def set_configuration(self, configuration):
        """Replace the snapshot by a newer one."""
        self._configuration = configuration

    def set_configuration_status(self, status):
        """Update readiness from a ``PropagationStatus``.

        A node without any configuration is not ready.
        """
        self._is_configured = status.is_ready and status.number > 0

    def begin_drain(self):
        """Become unready.

        Requests are still accepted until the load balancer has noticed; ``refuse_requests`` ends
        that.
        """
        self._is_draining = True

    def refuse_requests(self):
        """Accept no further requests."""
        self._refuses_requests = True

    def try_begin(self):
        """Count a new request as in flight; return False if the node refuses requests."""
        with self._lock:
            if self._refuses_requests:
                return False
            self._in_flight += 1
            return True

    def end(self):
        """Remove a finished request from the count of requests in flight."""
        with self._lock:
            self._in_flight -= 1
