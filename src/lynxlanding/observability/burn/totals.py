"""Sums of the counts of many nodes."""

import numpy

from lynxlanding.observability.burn import counts


class BurnTotals:
    """Adds up written counts over the buckets that some window reaches.

    Arrays keep the work for one node's object to a few milliseconds. The report runs in a node
    that relays streams meanwhile.

    Parameters
    ----------
    now : float
        Seconds since the epoch.
    """

    def __init__(self, now):
        self._first = {size: int(now // size) + 1 - kept for size, kept in counts.TIERS}
        self._series = {}

    def keys(self):
        """Return the counted (objective, scope, name)."""
        return list(self._series)

    def add(self, document):
        """Add a JSON value from ``BurnCounts.to_document``."""
        for objective, scope, name, packed in document:
            tiers = self._series.get((objective, scope, name))
            if tiers is None:
                tiers = {size: numpy.zeros((2, kept + 1)) for size, kept in counts.TIERS}
                self._series[objective, scope, name] = tiers
            for (size, _), (first, good, bad) in zip(counts.TIERS, packed, strict=True):
                if good:
                    _add_overlap(tiers[size], first - self._first[size], (good, bad))

    def sum(self, key, size, first, last):
        """Return good and bad of one tier from bucket ``first`` to bucket ``last``."""
        start = max(0, first - self._first[size])
        end = max(start, last + 1 - self._first[size])
        good, bad = self._series[key][size][:, start:end].sum(axis=1)
        return _plain(good), _plain(bad)


def _add_overlap(target, offset, values):
    source = numpy.asarray(values, dtype=float)
    start = max(0, offset)
    end = min(target.shape[1], offset + source.shape[1])
    if start < end:
        target[:, start:end] += source[:, start - offset : end - offset]


def _plain(value):
    return int(value) if value.is_integer() else round(float(value), 3)
