"""Sums of the burn counts of many nodes."""

import numpy

from lynxlanding.observability.burn import counts


class BurnTotals:
    """Adds up stored counts over the buckets that at least one window covers.

    The report is built in a node that relays streams at the same time. Arrays limit the work per
    stored object to a few milliseconds.

    Parameters
    ----------
    now : float
        Seconds since the epoch.
    """

    def __init__(self, now):
        self._first = {
            bucket_s: int(now // bucket_s) + 1 - bucket_count
            for bucket_s, bucket_count in counts.TIERS
        }
        self._series = {}

    def keys(self):
        """Return the keys with counts, as (objective, scope, name)."""
        return list(self._series)

    def add(self, document):
        """Add the counts of a JSON value from ``BurnCounts.to_document``."""
        for objective, scope, name, packed in document:
            tiers = self._series.get((objective, scope, name))
            if tiers is None:
                tiers = {
                    bucket_s: numpy.zeros((2, bucket_count + 1))
                    for bucket_s, bucket_count in counts.TIERS
                }
                self._series[objective, scope, name] = tiers
            for (bucket_s, _), (first, good, bad) in zip(counts.TIERS, packed, strict=True):
                if good:
                    _add_overlap(tiers[bucket_s], first - self._first[bucket_s], (good, bad))

    def sum(self, key, bucket_s, first, last):
        """Return the good and bad counts of one tier from bucket ``first`` through ``last``."""
        start = max(0, first - self._first[bucket_s])
        end = max(start, last + 1 - self._first[bucket_s])
        good, bad = self._series[key][bucket_s][:, start:end].sum(axis=1)
        return _to_python_number(good), _to_python_number(bad)


def _add_overlap(target, offset, values):
    source = numpy.asarray(values, dtype=float)
    start = max(0, offset)
    end = min(target.shape[1], offset + source.shape[1])
    if start < end:
        target[:, start:end] += source[:, start - offset : end - offset]


def _to_python_number(value):
    return int(value) if value.is_integer() else round(float(value), 3)
