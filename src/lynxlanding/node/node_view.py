"""What the parts of a node share: the configuration in force and its readiness."""

import threading
import time

# Requests wait for the first lists of the store for this long after the start of the process;
# a store that answers does so within some tens of milliseconds.
START_S = 1.0


class NodeView:
    """Single values that request threads read without asking an actor."""

    def __init__(self):
        self._configuration = None
        self._registry_at = None
        self._started_at = time.monotonic()
        self._is_known = threading.Event()
        self._is_stopping = False
        self._refuses = False
        self._in_flight = 0
        self._has_traffic = False

    @property
    def has_traffic(self):
        """Whether a caller's request has arrived."""
        return self._has_traffic

    @property
    def configuration(self):
        """``TrafficConfiguration`` in force, or None."""
        return self._configuration

    @property
    def configuration_version(self):
        """Version in force, or None."""
        return None if self._configuration is None else self._configuration.version

    @property
    def registry_age_s(self):
        """Seconds since the store last confirmed the endpoints; None before the first list."""
        if self._registry_at is None:
            return None
        return round(time.monotonic() - self._registry_at, 3)

    @property
    def is_ready(self):
        """Whether new callers should be sent to this node."""
        known = self._configuration is not None and self._registry_at is not None
        return known and not self._is_stopping

    @property
    def refuses_requests(self):
        """Whether the node is too close to its end for new requests."""
        return self._refuses

    @property
    def in_flight(self):
        """Requests in progress."""
        return self._in_flight

    def use_configuration(self, configuration):
        """Put a newer configuration in force; return whether it was newer."""
        known = self._configuration
        if known is not None and configuration.version <= known.version:
            return False
        self._configuration = configuration
        self._note_known()
        return True

    def confirm_registry(self, now):
        """Record that the store confirmed the endpoints at ``now`` (monotonic seconds)."""
        self._registry_at = now
        self._note_known()

    def wait_until_known(self):
        """Wait until configuration and endpoints are known, at most until the start is over."""
        if self._is_known.is_set():
            return
        self._is_known.wait(max(0.0, self._started_at + START_S - time.monotonic()))

    def begin_stop(self):
        """Become unready."""
        self._is_stopping = True

    def refuse_requests(self):
        """Refuse new requests."""
        self._refuses = True

    def begin_request(self):
        """Count a request."""
        self._in_flight += 1
        self._has_traffic = True

    def _note_known(self):
        if self._configuration is not None and self._registry_at is not None:
            self._is_known.set()

    def end_request(self):
        """Count the end of a request."""
        self._in_flight -= 1
