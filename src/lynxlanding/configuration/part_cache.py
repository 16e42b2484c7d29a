"""Decoded parts by digest."""

import threading

from lynxlanding.configuration import part


class PartCache:
    """Keeps parts, so that a new revision costs only what it changes.

    Several threads may use one cache: the entries are immutable and their digests verified.
    """

    def __init__(self):
        self._entries = {}
        self._lock = threading.Lock()

    def get(self, digest):
        """Return the object of a part, or None."""
        found = self._entries.get(digest)
        return None if found is None else found[0]

    def document(self, digest):
        """Return the stored document of a part, or None."""
        found = self._entries.get(digest)
        return None if found is None else found[1]

    def add(self, key, digest, document):
        """Verify and keep a part and return its object; raises ``InvalidObject``."""
        spec = part.to_spec(document, digest, key)
        with self._lock:
            self._entries[digest] = (spec, document)
        return spec

    def retain(self, digests):
        """Drop the parts that no kept revision uses."""
        with self._lock:
            kept = {}
            for digest in digests:
                found = self._entries.get(digest)
                if found is not None:
                    kept[digest] = found
            self._entries = kept
