"""The last revisions that a node held, for itself and for its peers."""

from lynxlanding.configuration import loaded_revision

# A peer that is at most this many revisions behind receives the changed objects only.
KEPT = 8


class RevisionLog:
    """Immutable tuple of loaded revisions, replaced as a whole, so that reads need no lock.

    Parameters
    ----------
    cache : PartCache
        Parts of the kept revisions.
    """

    def __init__(self, cache):
        self._cache = cache
        self._revisions = (loaded_revision.empty(),)

    @property
    def cache(self):
        """Parts of the kept revisions."""
        return self._cache

    @property
    def current(self):
        """Revision in effect."""
        return self._revisions[-1]

    def append(self, loaded):
        """Put a newer revision into effect."""
        self._revisions = (*self._revisions, loaded)[-KEPT:]
        used = set()
        for kept in self._revisions:
            used.update(kept.manifest.values())
        self._cache.retain(used)

    def since(self, base_digest, digest):
        """Return the kept revisions after one digest up to another, or None.

        The result is complete only if every revision's parent is its predecessor.
        """
        chain = None
        previous = ""
        for kept in self._revisions:
            if chain is not None and kept.revision.parent == previous:
                chain.append(kept)
            elif chain is not None:
                return None
            if chain is None and kept.digest == base_digest:
                chain = []
            previous = kept.digest
            if chain and kept.digest == digest:
                return chain
        return None

    def find(self, digest):
        """Return the kept revision with a digest, or None."""
        for kept in self._revisions:
            if kept.digest == digest:
                return kept
        return None
