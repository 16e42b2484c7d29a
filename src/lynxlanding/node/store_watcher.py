"""Keeps a node's copy of one kind of objects up to date."""

import dataclasses
import threading
import time

import eliot

from lynxlanding.errors import platform as platform_errors
from lynxlanding.observability import restarting_thread
from lynxlanding.peers import store_access
from lynxlanding.store import watch_batch

# An unresponsive store is noticed only when a watch ends, and nodes must receive changes again
# within about three seconds of the store's recovery.
WATCH_TIMEOUT_S = 2.5
# Used while other nodes rely on this one: what it publishes after each watch tells them that it
# still reaches the store.
RELAY_WATCH_TIMEOUT_S = 0.4
# Used while the store is unavailable, so that its recovery is noticed quickly.
RECOVERY_WATCH_TIMEOUT_S = 0.2
# A relay of a large fleet pauses between its probes instead, and has an answer at once.
PROBE_WATCH_TIMEOUT_S = 0.01
# The platform charges for every call, including rejected ones; five calls per second detect the
# store's recovery soon enough.
RETRY_PAUSE_S = 0.2
# Shorter unavailability does not count as an outage.
OUTAGE_THRESHOLD_S = 0.5

STORE_LOST = "lynxlanding:store:lost"
STORE_REGAINED = "lynxlanding:store:regained"
STORE_ROLLED_BACK = "lynxlanding:store:rolled_back"
STORE_WAITING = "lynxlanding:store:waiting"
FEED_FOLLOWED = "lynxlanding:feed:followed"
FEED_LOST = "lynxlanding:feed:lost"


@dataclasses.dataclass(slots=True, frozen=True)
class WatchTimes:
    """Times of a kind whose changes nodes may receive later or must receive sooner than others.

    Parameters
    ----------
    watch_s : float
        Used in place of ``WATCH_TIMEOUT_S`` for calls to the store.
    relay_watch_s : float
        Used in place of ``RELAY_WATCH_TIMEOUT_S``.
    feed_s : float
        Time after which the feed says that there are no changes. If it is longer than the feed's
        own timeout, only words of the relay count as readings, never its silence.
    """

    watch_s: float
    relay_watch_s: float
    feed_s: float


class StoreWatcher:
    """Lists the objects of a kind once and then watches for changes.

    Parameters
    ----------
    store : ObjectStore
        The platform's store.
    kind : str
        Kind of the objects.
    handler : WatchHandler
        Receives lists and changes.
    get_pause_s : callable, optional
        Returns how long to wait before the next watch, in seconds. A watch returns at the first
        change and the platform charges for every call, so the pause batches changes.
    feed : ChangeFeed, optional
        Changes that another node passes on; the store is read only where it has none.
    access : StoreAccess, optional
        Decides when the store is called in a large fleet. Without it, it is called whenever the
        feed has nothing.
    times : WatchTimes, optional
        Times of this kind, in place of the constants.
    """

    def __init__(
        self,
        store,
        kind,
        handler,
        get_pause_s=None,
        feed=None,
        access=None,
        times=None,
    ):
        self._store = store
        self._kind = kind
        self._handler = handler
        self._get_pause_s = get_pause_s
        self._feed = feed
        self._access = access
        self._is_waiting = False
        # Reasons to wait that have been logged since the store was lost.
        self._logged_reasons = set()
        self._times = times
        self._is_fed = False
        self._stop = threading.Event()
        self._unavailable_since = None

    def start(self):
        """Start watching in a background thread."""
        restarting_thread.start(self._run, f"watch {self._kind}")

    def stop(self):
        """Stop watching."""
        self._stop.set()

    def _run(self):
        version = None
        while not self._stop.is_set():
            try:
                version = self._sync(version)
                if self._get_pause_s is not None and not self._is_fed and not self._is_waiting:
                    self._stop.wait(self._get_pause_s())
            except platform_errors.WatchExpired as e:
                self._record_answer()
                eliot.log_message(
                    message_type="lynxlanding:store:history_expired",
                    kind=self._kind,
                    version=str(version),
                    detail=str(e),
                )
                version = None
            except platform_errors.StoreRolledBack as e:
                self._record_answer()
                eliot.log_message(
                    message_type=STORE_ROLLED_BACK,
                    kind=self._kind,
                    version=str(version),
                    detail=str(e),
                )
                version = None
                self._handler.on_store_rolled_back()
            except platform_errors.PlatformError as e:
                self._mark_unavailable(e.type_name, str(e))
                if self._access is not None:
                    self._access.record_failure(time.monotonic())
                if not self._is_in_large_fleet():
                    self._stop.wait(RETRY_PAUSE_S)

    def _sync(self, version):
        """Read a list or the next changes; return the version to continue from."""
        if version is None:
            if not self._may_call(version):
                return None
            objects, version = self._store.list(self._kind)
            self._record_answer()
            was_outage = self._mark_available()
            self._handler.on_list(objects, version, time.monotonic(), was_outage)
            self._publish(None, watch_batch.WatchBatch([], [], version), was_outage)
            return version
        if self._feed is not None:
            message = self._feed.watch(self._kind, version, self._feed_timeout_s())
            if message is not None:
                return self._apply_message(message)
            version = self._feed.skip_copied(self._kind, version)
        if not self._may_call(version):
            return version
        timeout_s = self._watch_timeout_s()
        self._set_fed(False, version)
        batch = self._store.watch(self._kind, version, timeout_s)
        self._record_answer()
        was_outage = self._mark_available()
        self._handler.on_changes(
            batch.puts, batch.deletes, batch.version, time.monotonic(), was_outage
        )
        self._publish(version, batch, was_outage)
        return batch.version

    def _may_call(self, version):
        """Return whether the store is called now; if not, wait for a moment."""
        if self._access is None:
            return True
        decision = self._access.decide(self._kind, time.monotonic())
        self._is_waiting = not decision.may_call
        if decision.may_call:
            return True
        if decision.reason not in self._logged_reasons:
            self._logged_reasons.add(decision.reason)
            eliot.log_message(
                message_type=STORE_WAITING,
                kind=self._kind,
                version=str(version),
                reason=decision.reason,
            )
        # Nothing confirms what the node knows.
        self._mark_unavailable(decision.reason, "")
        if self._feed is None:
            self._stop.wait(store_access.POLL_S)
        else:
            self._feed.wait_for_message(self._kind, store_access.POLL_S)
        return False

    def _is_in_large_fleet(self):
        return self._access is not None and self._access.is_large

    def _record_answer(self):
        if self._access is not None:
            self._access.record_answer(time.monotonic(), self._kind)

    def _apply_message(self, message):
        """Apply what another node has read; return the version to continue from."""
        self._set_fed(True, message.version)
        was_outage = self._mark_available() or message.was_outage
        self._handler.on_changes(
            message.puts, message.deletes, message.version, time.monotonic(), was_outage
        )
        return message.version

    def _watch_timeout_s(self):
        if self._unavailable_since is not None and self._is_in_large_fleet():
            return PROBE_WATCH_TIMEOUT_S
        if self._unavailable_since is not None or self._is_fed:
            # The feed may have ended because the store does not respond.
            return RECOVERY_WATCH_TIMEOUT_S
        if self._feed is not None and self._feed.has_subscribers:
            if self._is_in_large_fleet():
                # After a longer silence, subscribers ask another relay.
                return store_access.RELAY_WATCH_TIMEOUT_S
            return RELAY_WATCH_TIMEOUT_S if self._times is None else self._times.relay_watch_s
        return WATCH_TIMEOUT_S if self._times is None else self._times.watch_s

    def _feed_timeout_s(self):
        if self._times is not None:
            return self._times.feed_s
        # While the store is away, a message without changes, too, says that it answers again.
        return WATCH_TIMEOUT_S if self._unavailable_since is None else 0.0

    def _set_fed(self, is_fed, version):
        if is_fed != self._is_fed:
            self._is_fed = is_fed
            eliot.log_message(
                message_type=FEED_FOLLOWED if is_fed else FEED_LOST,
                kind=self._kind,
                version=str(version),
            )

    def _publish(self, after, batch, was_outage):
        if self._feed is not None:
            self._feed.publish(self._kind, after, batch, was_outage=was_outage)

    def _mark_unavailable(self, error, detail):
        if self._unavailable_since is not None:
            return
        self._unavailable_since = time.monotonic()
        eliot.log_message(
            message_type=STORE_LOST, kind=self._kind, error=error, detail=detail[:200]
        )
        self._handler.on_store_unavailable()

    def _mark_available(self):
        """Record a successful call; return whether it ended an outage."""
        if self._unavailable_since is None:
            return False
        away_s = time.monotonic() - self._unavailable_since
        self._unavailable_since = None
        self._logged_reasons.clear()
        eliot.log_message(message_type=STORE_REGAINED, kind=self._kind, away_s=round(away_s, 3))
        return away_s > OUTAGE_THRESHOLD_S
