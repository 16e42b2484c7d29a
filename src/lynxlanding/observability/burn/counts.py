"""Counts of good and bad events in time buckets."""

# (bucket in seconds, buckets kept). Each event is counted in every tier, so no bucket is ever
# converted into another one. The tiers serve windows up to 1 h, 6 h, 3 d and 30 d.
TIERS = ((60, 75), (600, 40), (7200, 38), (86400, 31))


class BurnCounts:
    """Good and bad events by objective, scope, name and bucket.

    Times are seconds since the epoch, so that the counts of different nodes add up.
    """

    def __init__(self):
        self._series = {}

    def keys(self):
        """Return the counted (objective, scope, name)."""
        return list(self._series)

    def add(self, now, key, good, bad):
        """Count events at a time.

        Parameters
        ----------
        now : float
            Time of the events.
        key : tuple of str
            Objective, scope and name.
        good, bad : float
            Number of events, or seconds.
        """
        tiers = self._series.get(key)
        if tiers is None:
            tiers = self._series[key] = {size: {} for size, _ in TIERS}
        for size, buckets in tiers.items():
            bucket = buckets.setdefault(int(now // size), [0, 0])
            bucket[0] += good
            bucket[1] += bad

    def merge(self, other):
        """Add all counts of another object."""
        for key, tiers in other._series.items():
            own = self._series.setdefault(key, {size: {} for size, _ in TIERS})
            for size, buckets in tiers.items():
                for index, (good, bad) in buckets.items():
                    bucket = own[size].setdefault(index, [0, 0])
                    bucket[0] += good
                    bucket[1] += bad

    def prune(self, now):
        """Drop buckets that no window reaches any more.

        Buckets of the future come from a clock that was set back. They are dropped too, since the
        gap would fill the written lists with zeros.
        """
        for key in list(self._series):
            tiers = self._series[key]
            for size, kept in TIERS:
                newest = int(now // size) + 1
                reachable = range(newest - kept, newest + 1)
                tiers[size] = {i: bucket for i, bucket in tiers[size].items() if i in reachable}
            if not any(tiers.values()):
                del self._series[key]

    def sum(self, key, size, first, last):
        """Return good and bad of one tier from bucket ``first`` to bucket ``last``."""
        good = 0
        bad = 0
        for index, bucket in self._series.get(key, {}).get(size, {}).items():
            if first <= index <= last:
                good += bucket[0]
                bad += bucket[1]
        return good, bad

    def to_document(self):
        """Return a compact JSON value: contiguous buckets of a tier become two lists."""
        rows = []
        for key, tiers in self._series.items():
            packed = []
            for size, _ in TIERS:
                packed.append(_pack(tiers[size]))
            rows.append([*key, packed])
        return rows

    @classmethod
    def from_document(cls, document):
        """Return the counts of a JSON value from ``to_document``."""
        counts = cls()
        for objective, scope, name, packed in document:
            tiers = {}
            for (size, _), (first, good, bad) in zip(TIERS, packed, strict=True):
                buckets = {}
                for offset, (good_value, bad_value) in enumerate(zip(good, bad, strict=True)):
                    if good_value or bad_value:
                        buckets[first + offset] = [good_value, bad_value]
                tiers[size] = buckets
            counts._series[objective, scope, name] = tiers
        return counts


def _pack(buckets):
    if not buckets:
        return [0, [], []]
    first = min(buckets)
    good = []
    bad = []
    for index in range(first, max(buckets) + 1):
        values = buckets.get(index, (0, 0))
        good.append(_shorten(values[0]))
        bad.append(_shorten(values[1]))
    return [first, good, bad]


def _shorten(value):
    # Seconds are floats; a millisecond is precise enough and keeps the object small.
    return round(value, 3) if isinstance(value, float) else value
