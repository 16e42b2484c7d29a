"""Cache of verified parts, by digest."""

import threading

from lynxlanding.configuration import part


class PartCache:
    """Caches parts, so that loading a revision reads only its changed objects.

    Thread-safe: entries are immutable and verified against their digests.
    """

    def __init__(self):
        self._entries = {}
        self._lock = threading.Lock()

    def get(self, digest):
        """Return the spec of a cached part, or None."""
        entry = self._entries.get(digest)
        return None if entry is None else entry[0]

    def document(self, digest):
        """Return the document of a cached part, or None."""
        entry = self._entries.get(digest)
        return None if entry is None else entry[1]

    def add(self, key, digest, document):
        """Verify and cache a part and return its spec; raises ``InvalidObject``."""
        spec = part.to_spec(document, digest, key)
        with self._lock:
            self._entries[digest] = (spec, document)
        return spec

    def retain(self, digests):
        """Remove all parts but those with the given digests."""
        with self._lock:
            kept = {}
            for digest in digests:
                entry = self._entries.get(digest)
                if entry is not None:
                    kept[digest] = entry
            self._entries = kept
