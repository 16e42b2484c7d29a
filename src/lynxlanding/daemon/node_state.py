"""State that the listeners share: configuration, readiness and requests in flight."""

import threading

from lynxlanding.configuration import snapshot


class NodeState:
    """Read by every request, so reads take no lock and send no message."""

    def __init__(self):
        self._lock = threading.Lock()
        self._configuration = snapshot.empty()
        self._is_configured = False
        self._is_draining = False
        self._refuses = False
        self._in_flight = 0

    @property
    def configuration(self):
        """The newest accepted snapshot."""
        return self._configuration

    @property
    def is_ready(self):
        """Whether the balancer may send requests."""
        return self._is_configured and not self._is_draining

    @property
    def in_flight(self):
        """Number of requests in flight."""
        return self._in_flight

    def set_configuration(self, configuration):
        """Take over a newer snapshot."""
        self._configuration = configuration

    def set_configuration_status(self, status):
        """Take over the ``PropagationStatus``; a node without any configuration is not ready."""
        self._is_configured = status.is_ready and status.number > 0

    def begin_drain(self):
        """Become unready; requests are still accepted until the balancer has noticed."""
        self._is_draining = True

    def refuse_requests(self):
        """Accept no further requests."""
        self._refuses = True

    def try_begin(self):
        """Count a request; return False if the node accepts no more."""
        with self._lock:
            if self._refuses:
                return False
            self._in_flight += 1
            return True

    def end(self):
        """Take a request out of the count."""
        with self._lock:
            self._in_flight -= 1
