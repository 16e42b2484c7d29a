"""State that the components of a node share: active configuration, readiness and request count."""

import math
import threading
import time

# For this long after the start of the process, requests wait for the first lists from the store;
# an available store responds within some tens of milliseconds.
INITIAL_SYNC_TIMEOUT_S = 1.0


class NodeStatus:
    """Single values that request threads read directly, without a call to an actor.

    Parameters
    ----------
    needs_evacuations : bool, optional
        Whether the first list of evacuated data centres is part of the initial sync.
    """

    def __init__(self, *, needs_evacuations=False):
        self._lacks_evacuations = needs_evacuations
        self._evacuated = ()
        self._evacuations_read_at = None
        self._configuration = None
        self._registry_confirmed_at = None
        self._started_at = time.monotonic()
        self._initial_sync_done = threading.Event()
        self._is_stopping = False
        self._answer_by = math.inf
        self._refuses_requests = False
        self._in_flight = 0
        self._has_traffic = False

    @property
    def has_traffic(self):
        """Whether this process has received a request from a caller."""
        return self._has_traffic

    @property
    def configuration(self):
        """Active ``TrafficConfiguration``, or None before the first one."""
        return self._configuration

    @property
    def configuration_version(self):
        """Version of the active configuration, or None."""
        return None if self._configuration is None else self._configuration.version

    @property
    def registry_age_s(self):
        """Seconds since the store last confirmed the endpoints; None before the first list."""
        if self._registry_confirmed_at is None:
            return None
        return round(time.monotonic() - self._registry_confirmed_at, 3)

    @property
    def is_ready(self):
        """Whether new callers should be sent to this node."""
        has_synced = self._configuration is not None and self._registry_confirmed_at is not None
        if self._lacks_evacuations and not self._is_initial_sync_over:
            return False
        return has_synced and not self._is_stopping

    @property
    def _is_initial_sync_over(self):
        return time.monotonic() >= self._started_at + INITIAL_SYNC_TIMEOUT_S

    @property
    def refuses_requests(self):
        """Whether new requests are refused because the process exits soon."""
        return self._refuses_requests

    @property
    def in_flight(self):
        """Number of requests in progress."""
        return self._in_flight

    def use_configuration(self, configuration):
        """Activate a configuration if it is newer; return whether it was."""
        active = self._configuration
        if active is not None and configuration.version <= active.version:
            return False
        self._configuration = configuration
        self._check_initial_sync()
        return True

    def confirm_registry(self, now):
        """Record that the store confirmed the endpoints at ``now`` (monotonic seconds)."""
        self._registry_confirmed_at = now
        self._check_initial_sync()

    @property
    def evacuated(self):
        """Names of the evacuated data centres, in order."""
        return self._evacuated

    @property
    def evacuations_age_s(self):
        """Seconds since the store stated the evacuations; None if it is not known."""
        if self._evacuations_read_at is None:
            return None
        return round(time.monotonic() - self._evacuations_read_at, 3)

    def confirm_evacuations(self, data_centres, read_at):
        """Record the evacuated data centres and when the store stated them."""
        self._evacuated = tuple(sorted(data_centres))
        self._evacuations_read_at = read_at
        if self._lacks_evacuations:
            self._lacks_evacuations = False
            self._check_initial_sync()

    def wait_for_initial_sync(self):
        """Wait until the configuration, the endpoints and the evacuations have been received.

        Gives up ``INITIAL_SYNC_TIMEOUT_S`` after the start of the process.
        """
        if self._initial_sync_done.is_set():
            return
        self._initial_sync_done.wait(
            max(0.0, self._started_at + INITIAL_SYNC_TIMEOUT_S - time.monotonic())
        )

    def get_answer_by(self):
        """Return until when this process can answer, monotonic seconds."""
        return self._answer_by

    def begin_stop(self, answer_by):
        """Fail the readiness check from now on; requests are answered until ``answer_by``."""
        self._is_stopping = True
        self._answer_by = answer_by

    def refuse_requests(self):
        """Refuse new requests from now on."""
        self._refuses_requests = True

    def begin_request(self):
        """Count a request that has started."""
        self._in_flight += 1
        self._has_traffic = True

    def _check_initial_sync(self):
        if self._configuration is None or self._registry_confirmed_at is None:
            return
        if not self._lacks_evacuations:
            self._initial_sync_done.set()

    def end_request(self):
        """Count a request that has ended."""
        self._in_flight -= 1
