"""Counts of good and bad events in time buckets."""

# (bucket length in seconds, number of buckets). Each event is counted in every tier, so buckets
# are never aggregated into longer ones. The tiers cover windows up to 1 h, 6 h, 3 d and 30 d.
TIERS = ((60, 75), (600, 40), (7200, 38), (86400, 31))


class BurnCounts:
    """Good and bad events by objective, scope, name and bucket.

    Times are seconds since the epoch, so that the buckets of different nodes can be added up.
    """

    def __init__(self):
        self._series = {}

    def keys(self):
        """Return the keys with counts, as (objective, scope, name)."""
        return list(self._series)

    def add(self, now, key, good, bad):
        """Count events in the buckets of their time.

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
            tiers = self._series[key] = {bucket_s: {} for bucket_s, _ in TIERS}
        for bucket_s, buckets in tiers.items():
            bucket = buckets.setdefault(int(now // bucket_s), [0, 0])
            bucket[0] += good
            bucket[1] += bad

    def merge(self, other):
        """Add all counts of another ``BurnCounts``."""
        for key, tiers in other._series.items():
            own = self._series.setdefault(key, {bucket_s: {} for bucket_s, _ in TIERS})
            for bucket_s, buckets in tiers.items():
                for index, (good, bad) in buckets.items():
                    bucket = own[bucket_s].setdefault(index, [0, 0])
                    bucket[0] += good
                    bucket[1] += bad

    def prune(self, now):
        """Drop buckets that no window covers any more.

        Future buckets remain when the clock is set back. They are dropped too, because ``_pack``
        would fill the gap before them with zeros.
        """
        for key in list(self._series):
            tiers = self._series[key]
            for bucket_s, bucket_count in TIERS:
                newest = int(now // bucket_s) + 1
                reachable = range(newest - bucket_count, newest + 1)
                tiers[bucket_s] = {
                    index: bucket for index, bucket in tiers[bucket_s].items() if index in reachable
                }
            if not any(tiers.values()):
                del self._series[key]

    def sum(self, key, bucket_s, first, last):
        """Return the good and bad counts of one tier from bucket ``first`` through ``last``."""
        good = 0
        bad = 0
        for index, bucket in self._series.get(key, {}).get(bucket_s, {}).items():
            if first <= index <= last:
                good += bucket[0]
                bad += bucket[1]
        return good, bad

    def to_document(self):
        """Return a compact JSON value with a list of good and one of bad counts for each tier."""
        rows = []
        for key, tiers in self._series.items():
            packed = []
            for bucket_s, _ in TIERS:
                packed.append(_pack(tiers[bucket_s]))
            rows.append([*key, packed])
        return rows

    @classmethod
    def from_document(cls, document):
        """Return the counts of a JSON value from ``to_document``."""
        counts = cls()
        for objective, scope, name, packed in document:
            tiers = {}
            for (bucket_s, _), (first, good, bad) in zip(TIERS, packed, strict=True):
                buckets = {}
                for offset, (good_value, bad_value) in enumerate(zip(good, bad, strict=True)):
                    if good_value or bad_value:
                        buckets[first + offset] = [good_value, bad_value]
                tiers[bucket_s] = buckets
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
        good.append(_round_seconds(values[0]))
        bad.append(_round_seconds(values[1]))
    return [first, good, bad]


def _round_seconds(value):
    # Seconds are floats. Rounding them to milliseconds keeps the stored object small.
    return round(value, 3) if isinstance(value, float) else value
