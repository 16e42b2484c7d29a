"""Which endpoints are known to hold which prefixes."""

import collections

from lynxlanding.routing import _sample_set, cache_report

# 100,000 pairs take about 25 MB, a tenth of a node's memory target.
MAX_PAIRS = 100_000


class CacheIndex:
    """Index of cached prefixes from cache events that are late and have gaps.

    After a gap, an unseen eviction may have removed any known prefix, so everything known about
    the endpoint is discarded. A wrong entry costs one cache miss, never a wrong response.

    Parameters
    ----------
    max_pairs : int, optional
        Pairs of endpoint and prefix that are kept; the oldest are dropped beyond it.
    """

    def __init__(self, max_pairs=MAX_PAIRS):
        self._max_pairs = max_pairs
        self._holders = {}
        self._prefixes = {}
        self._sequences = {}
        self._pairs = collections.OrderedDict()
        self.gaps = 0

    def __len__(self):
        return len(self._pairs)

    def holders(self, prefix):
        """Return the set of addresses known to hold a prefix, with random draws; or None."""
        return self._holders.get(prefix)

    def sequence(self, address):
        """Return the last sequence applied for an endpoint, 0 if none."""
        return self._sequences.get(address, 0)

    def apply(self, report):
        """Apply the events of a report that are new.

        Parameters
        ----------
        report : cache_report.CacheReport
            Events of one endpoint.
        """
        known = self._sequences.get(report.address, 0)
        for event in report.events:
            if event.sequence <= known:
                continue
            if event.sequence != known + 1 and known != 0:
                self.gaps += 1
                self._forget_prefixes(report.address)
            known = event.sequence
            if event.type == cache_report.STORED:
                self._add(report.address, event.prefix)
            else:
                self._remove(report.address, event.prefix)
        if report.sequence > known:
            # The endpoint has given out events that are missing at the end of this report.
            if known != 0:
                self.gaps += 1
            self._forget_prefixes(report.address)
            known = report.sequence
        self._sequences[report.address] = known

    def discard(self, address):
        """Forget an endpoint, for instance after its restart."""
        self._forget_prefixes(address)
        self._sequences.pop(address, None)

    def _add(self, address, prefix):
        pair = (address, prefix)
        if pair in self._pairs:
            self._pairs.move_to_end(pair)
            return
        self._pairs[pair] = None
        self._holders.setdefault(prefix, _sample_set.SampleSet()).add(address)
        self._prefixes.setdefault(address, set()).add(prefix)
        if len(self._pairs) > self._max_pairs:
            oldest_address, oldest_prefix = next(iter(self._pairs))
            self._remove(oldest_address, oldest_prefix)

    def _remove(self, address, prefix):
        if (address, prefix) not in self._pairs:
            return
        del self._pairs[(address, prefix)]
        self._prefixes[address].discard(prefix)
        holders = self._holders[prefix]
        holders.discard(address)
        if not len(holders):
            del self._holders[prefix]

    def _forget_prefixes(self, address):
        for prefix in list(self._prefixes.get(address, ())):
            self._remove(address, prefix)
        self._prefixes.pop(address, None)
