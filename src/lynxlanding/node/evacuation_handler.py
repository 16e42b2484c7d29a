"""Follows the evacuations in the store and in the reports of other nodes."""

import threading
import time

import eliot

from lynxlanding.errors import platform as platform_errors
from lynxlanding.fleet import evacuated_data_centres
from lynxlanding.platform import evacuation_codec

EVACUATION_BEGAN = "lynxlanding:evacuation:began"
EVACUATION_ENDED = "lynxlanding:evacuation:ended"
ENTRY_SKIPPED = "lynxlanding:evacuation:entry_skipped"
DATA_CENTRE_UNKNOWN = "lynxlanding:evacuation:data_centre_unknown"


class EvacuationHandler:
    """``WatchHandler`` of the evacuations; also takes what other nodes report.

    Watch, reports and maintenance call it from threads of their own, so one lock covers each change
    with its consequences: those of a later change never come first.

    Parameters
    ----------
    state : EvacuatedDataCentres
        What this node knows.
    serving : ServingActor proxy
        Told of the data centres that get no requests.
    node_status : NodeStatus
        Told that the evacuations are known.
    on_change : callable
        Called without arguments after an evacuation has begun or ended.
    on_ended : callable, optional
        Called with the data centre and the time, in monotonic seconds, when an evacuation ends,
        right before the data centre gets requests again. Its engines may be cold.
    """

    def __init__(
        self, state, serving, node_status, on_change, on_ended=lambda data_centre, now: None
    ):
        self._state = state
        self._serving = serving
        self._node_status = node_status
        self._on_change = on_change
        self._on_ended = on_ended
        self._lock = threading.Lock()
        # Evacuated data centres without endpoints that have been logged.
        self._logged_unknown = set()

    @property
    def state(self):
        """``EvacuatedDataCentres`` that this node knows."""
        return self._state

    def on_list(self, objects, version, now, was_outage):
        """Replace the node's reading by a complete list."""
        del was_outage
        names = _decode_names(objects)
        with self._lock:
            self._apply(self._state.record_list(names, version, now), now)

    def on_changes(self, puts, deletes, version, now, was_outage):
        """Apply the changes of one watch call."""
        del was_outage
        names = _decode_names(puts)
        with self._lock:
            self._apply(self._state.record_changes(names, deletes, version, now), now)

    def on_store_rolled_back(self):
        """Keep the evacuations for a time; the next list may lack the latest ones."""
        with self._lock:
            self._state.record_rollback(time.monotonic())

    def on_store_unavailable(self):
        """Keep the evacuations; what other nodes report counts once they are old."""

    def record_report(self, reading, reporter, now):
        """Apply the ``EvacuationReading`` of another node."""
        with self._lock:
            self._apply(self._state.record_report(reading, reporter, now), now)

    def expire(self, now):
        """Drop what is too old."""
        with self._lock:
            self._apply(self._state.expire(now), now)

    def log_unknown(self, data_centres):
        """Log evacuated data centres without endpoints, once for each evacuation.

        Parameters
        ----------
        data_centres : collection of str
            Data centres of the registered endpoints.
        """
        unknown = self._state.data_centres.difference(data_centres)
        for name in sorted(unknown - self._logged_unknown):
            eliot.log_message(
                message_type=DATA_CENTRE_UNKNOWN,
                data_centre=name,
                known=sorted(data_centres),
            )
        self._logged_unknown = set(unknown)

    def _apply(self, changes, now):
        for change in changes:
            if change.kind == evacuated_data_centres.ENDED:
                # Before the first request, since the engines may be cold.
                self._on_ended(change.data_centre, now)
        if changes:
            self._serving.use_evacuated(self._state.data_centres).get()
        if self._state.is_known:
            age_s = self._state.read_age_s(now)
            self._node_status.confirm_evacuations(
                self._state.data_centres, None if age_s is None else now - age_s
            )
        for change in changes:
            self._log_change(change)
        if changes:
            self._on_change()

    def _log_change(self, change):
        began = change.kind == evacuated_data_centres.BEGAN
        eliot.log_message(
            message_type=EVACUATION_BEGAN if began else EVACUATION_ENDED,
            data_centre=change.data_centre,
            source=change.source,
            version=None if change.version is None else str(change.version),
            age_s=_round(change.age_s),
            unread_s=_round(change.unread_s),
            evacuated=sorted(self._state.data_centres),
        )


def _round(seconds):
    return None if seconds is None else round(seconds, 3)


def _decode_names(objects):
    """Return the data centres of the entries that can be decoded; the others close nothing."""
    names = []
    for stored in objects:
        try:
            names.append(evacuation_codec.decode(stored.name))
        except platform_errors.MalformedEntry as e:
            eliot.log_message(
                message_type=ENTRY_SKIPPED,
                entry=stored.name[: evacuation_codec.MAX_NAME_CHARACTERS],
                version=str(stored.version),
                reason=str(e),
            )
    return names
