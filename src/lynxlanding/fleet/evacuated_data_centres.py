"""Which data centres are evacuated, as the store and the other nodes say.

Pattern: an operator empties a data centre while requests arrive, some nodes do not reach the store,
and the store may come back from an older copy.
"""

import dataclasses

from lynxlanding.store import store_version

BEGAN = "began"
ENDED = "ended"

# Source of a change that this node has read from the store, or from a relay that has.
STORE = "store"
# Source of a change that follows from the age of what was known.
AGE = "age"

# While this node's own reading is at most this old, reports of others do not count. A watch that
# finds no change takes up to 2.5 s.
CONTACT_S = 3.0
# What only reports say ends this long after the last report that says so. Nodes report several
# times a second and count as dead after a few seconds.
REPORT_LIFETIME_S = 10.0
# A store that was restored from an older copy may lack the latest evacuations. They stay in force
# for this long, about the time in which live writers write again (engines take about 2 s).
ROLLBACK_GRACE_S = 3.0


@dataclasses.dataclass(slots=True, frozen=True)
class EvacuationReading:
    """Evacuated data centres as of one version of the store.

    Parameters
    ----------
    data_centres : frozenset of str
        All data centres that are evacuated at that version.
    version : StoreVersion
        Version of the store.
    read_at : float
        When the store returned that version to the node that has read it, in monotonic seconds by
        this node's clock.
    """

    data_centres: frozenset[str]
    version: store_version.StoreVersion
    read_at: float

    def is_newer_than(self, other):
        """Return whether ``other`` is of an earlier version, or of an earlier era of the store."""
        own = (self.version.era, self.version.revision)
        return own > (other.version.era, other.version.revision)


@dataclasses.dataclass(slots=True, frozen=True)
class EvacuationChange:
    """Beginning or end of an evacuation, as far as this node knows.

    Parameters
    ----------
    kind : str
        ``BEGAN`` or ``ENDED``.
    data_centre : str
        The data centre.
    source : str
        ``STORE``, ``AGE``, or the id of the node that has reported it.
    version : StoreVersion or None
        Version of the store that it follows from; None if it follows from age alone.
    age_s : float or None
        Time since the store returned that version; None if there is none.
    unread_s : float or None
        Time for which this node had not known the state of the store, an upper bound of the time
        since the change; None before the first reading.
    """

    kind: str
    data_centre: str
    source: str
    version: store_version.StoreVersion | None
    age_s: float | None
    unread_s: float | None


class EvacuatedDataCentres:
    """The evacuated data centres that this node knows; performs no I/O.

    The node's own reading counts while it is recent. Otherwise the newest one counts, of the
    node's own and those that other nodes have reported. Nodes report only their own readings, so
    what they say has never passed through a node that no longer exists.

    Not thread-safe, except that any thread may read the properties.
    """

    def __init__(self):
        self._own = None
        self._reported = None
        self._reporter = None
        self._heard_at = 0.0
        # Evacuations that a restored store may have lost, and until when they stay in force.
        self._held = frozenset()
        self._held_until = 0.0
        self._data_centres = frozenset()
        self._change_count = 0

    @property
    def data_centres(self):
        """Names of the evacuated data centres."""
        return self._data_centres

    @property
    def is_known(self):
        """Whether this node has read the evacuations or another node has reported them."""
        return self._own is not None or self._reported is not None

    @property
    def change_count(self):
        """Number of changes so far, of which peers should hear at once."""
        return self._change_count

    @property
    def own_reading(self):
        """``EvacuationReading`` to report to the other nodes; None before the first."""
        return self._own

    def read_age_s(self, now):
        """Return the time since the reading that counts, in seconds; None before the first."""
        reading = self._choose(now)
        return None if reading is None else max(0.0, now - reading.read_at)

    def record_list(self, data_centres, version, now):
        """Replace the node's own reading by a complete list; return the ``EvacuationChange``s."""
        return self._read(frozenset(data_centres), version, now)

    def record_changes(self, begun, ended, version, now):
        """Apply changes to the node's own reading; return the ``EvacuationChange``s.

        Parameters
        ----------
        begun, ended : collection of str
            Data centres whose objects were written and removed since the last reading.
        version : StoreVersion
            Version that the changes lead to.
        now : float
            When they were read, in monotonic seconds.
        """
        known = frozenset() if self._own is None else self._own.data_centres
        return self._read((known - frozenset(ended)) | frozenset(begun), version, now)

    def record_rollback(self, now):
        """Keep the present evacuations for a time; the store is back from an older copy."""
        self._held = self._data_centres
        self._held_until = now + ROLLBACK_GRACE_S

    def record_report(self, reading, reporter, now):
        """Record another node's own reading; return the ``EvacuationChange``s.

        Parameters
        ----------
        reading : EvacuationReading
            Reading of the other node.
        reporter : str
            Id of the node that has sent it.
        now : float
            Arrival, in monotonic seconds.
        """
        known = self._reported
        if known is not None and known.is_newer_than(reading):
            if reading.data_centres == known.data_centres:
                # The node that has read the newer version may be gone.
                self._heard_at = now
            return self.expire(now)
        self._reported = reading
        self._reporter = reporter
        self._heard_at = now
        return self._update(reporter, reading, now, self._unread_s(now))

    def expire(self, now):
        """Drop what is too old; return the ``EvacuationChange``s."""
        if now >= self._held_until:
            self._held = frozenset()
        if self._reported is not None and now - self._heard_at > REPORT_LIFETIME_S:
            self._reported = None
        chosen = self._choose(now)
        if chosen is not None and chosen is self._reported:
            return self._update(self._reporter, chosen, now, self._unread_s(now))
        return self._update(AGE, None, now, self._unread_s(now))

    def _read(self, data_centres, version, now):
        unread_s = self._unread_s(now)
        self._own = EvacuationReading(data_centres, version, now)
        if self._reported is not None and self._reported.version.era != version.era:
            # The eras of a store that goes back cannot be ordered; this is the one it is in now.
            self._reported = None
        return self._update(STORE, self._own, now, unread_s)

    def _unread_s(self, now):
        return None if self._own is None else max(0.0, now - self._own.read_at)

    def _choose(self, now):
        """Return the reading that counts, or None."""
        own, reported = self._own, self._reported
        if own is None or reported is None:
            return own or reported
        if now - own.read_at <= CONTACT_S or not reported.is_newer_than(own):
            return own
        return reported

    def _update(self, source, reading, now, unread_s):
        chosen = self._choose(now)
        current = self._held if now < self._held_until else frozenset()
        if chosen is not None:
            current |= chosen.data_centres
        previous = self._data_centres
        if current == previous:
            return []
        self._data_centres = current
        self._change_count += 1
        version = None if reading is None else reading.version
        age_s = None if reading is None else max(0.0, now - reading.read_at)
        changes = []
        for kind, names in ((BEGAN, current - previous), (ENDED, previous - current)):
            for name in sorted(names):
                changes.append(EvacuationChange(kind, name, source, version, age_s, unread_s))
        return changes
