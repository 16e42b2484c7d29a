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
        found = self._entries.get(digest)
        return None if found is None else found[0]

    def document(self, digest):
        """Return the document of a cached part, or None."""
        found = self._entries.get(digest)
        return None if found is None else found[1]

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
                found = self._entries.get(digest)
                if found is not None:
                    kept[digest] = found
            self._entries = kept
