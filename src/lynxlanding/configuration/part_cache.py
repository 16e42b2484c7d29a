"""Typed objects by part digest."""

import threading


class PartCache:
    """Keeps decoded parts, so that a new revision costs only what it changes.

    Several threads may use one cache: the entries are immutable and their digests verified.
    """

    def __init__(self):
        self._specs = {}
        self._lock = threading.Lock()

    def get(self, digest):
        """Return the object of a part, or None."""
        return self._specs.get(digest)

    def add(self, digest, spec):
        """Keep the object of a part whose digest has been verified."""
        with self._lock:
            self._specs[digest] = spec

    def retain(self, digests):
        """Drop the objects that no kept revision uses."""
        with self._lock:
            kept = {}
            for digest in digests:
                spec = self._specs.get(digest)
                if spec is not None:
                    kept[digest] = spec
            self._specs = kept
