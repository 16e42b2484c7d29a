"""Builds the result of a watch call from the events of the store."""

from lynxlanding.store import watch_batch


class WatchBatchBuilder:
    """Collects events in the order in which the store has carried them out."""

    def __init__(self):
        self._puts = []
        self._deletes = {}

    def put(self, stored):
        """Add the creation or update of an object."""
        self._puts.append(stored)

    def delete(self, name):
        """Add the deletion of an object, after which its earlier writes no longer count."""
        self._puts = [stored for stored in self._puts if stored.name != name]
        self._deletes[name] = None

    def build(self, version):
        """Return the ``WatchBatch`` that leads to ``version``."""
        return watch_batch.WatchBatch(self._puts, list(self._deletes), version)
