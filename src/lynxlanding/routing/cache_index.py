"""Index of the prefixes that endpoints are known to have cached."""

import collections

from lynxlanding.routing import _sample_set, cache_report

# 100,000 entries take about 25 MB, a tenth of a node's memory target.
MAX_ENTRIES = 100_000


class CacheIndex:
    """Index of cached prefixes, built from cache events that may be late and have gaps.

    A missing event may have been the eviction of any known prefix, so a gap discards all entries
    of the endpoint. A wrong entry causes a cache miss, but never a wrong response.

    Parameters
    ----------
    max_entries : int, optional
        Maximum number of entries, which are pairs of endpoint and prefix. Above it, the entry with
        the oldest store event is removed.
    """

    def __init__(self, max_entries=MAX_ENTRIES):
        self._max_entries = max_entries
        self._holders = {}
        self._prefix_keys = {}
        self._last_sequences = {}
        self._entries = collections.OrderedDict()
        self.gap_count = 0

    def __len__(self):
        return len(self._entries)

    def holders(self, prefix_key):
        """Return the ``SampleSet`` of addresses known to hold a prefix, or None if none is."""
        return self._holders.get(prefix_key)

    def last_sequence(self, address):
        """Return the sequence number of an endpoint's last known event, 0 if none."""
        return self._last_sequences.get(address, 0)

    def apply(self, report):
        """Apply those events of a report that are new.

        Parameters
        ----------
        report : cache_report.CacheReport
            Events of one endpoint.
        """
        last_sequence = self._last_sequences.get(report.address, 0)
        for event in report.events:
            if event.sequence <= last_sequence:
                continue
            if event.sequence != last_sequence + 1 and last_sequence != 0:
                self.gap_count += 1
                self._discard_prefixes(report.address)
            last_sequence = event.sequence
            if event.type == cache_report.STORED:
                self._add(report.address, event.prefix_key)
            else:
                self._remove(report.address, event.prefix_key)
        if report.sequence > last_sequence:
            # The endpoint has assigned sequence numbers after the last event of this report.
            if last_sequence != 0:
                self.gap_count += 1
            self._discard_prefixes(report.address)
            last_sequence = report.sequence
        self._last_sequences[report.address] = last_sequence

    def forget(self, address):
        """Discard the entries of an endpoint that restarted or was removed."""
        self._discard_prefixes(address)
        self._last_sequences.pop(address, None)

    def _add(self, address, prefix_key):
        entry = (address, prefix_key)
        if entry in self._entries:
            self._entries.move_to_end(entry)
            return
        self._entries[entry] = None
        self._holders.setdefault(prefix_key, _sample_set.SampleSet()).add(address)
        self._prefix_keys.setdefault(address, set()).add(prefix_key)
        if len(self._entries) > self._max_entries:
            oldest_address, oldest_prefix_key = next(iter(self._entries))
            self._remove(oldest_address, oldest_prefix_key)

    def _remove(self, address, prefix_key):
        if (address, prefix_key) not in self._entries:
            return
        del self._entries[(address, prefix_key)]
        self._prefix_keys[address].discard(prefix_key)
        holders = self._holders[prefix_key]
        holders.discard(address)
        if not len(holders):
            del self._holders[prefix_key]

    def _discard_prefixes(self, address):
        for prefix_key in list(self._prefix_keys.get(address, ())):
            self._remove(address, prefix_key)
        self._prefix_keys.pop(address, None)
