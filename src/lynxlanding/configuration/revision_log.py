"""Recent revisions of a node, for itself and to serve to its peers."""

from lynxlanding.configuration import loaded_revision

# A peer whose revision is still in the log is sent only the changed objects.
MAX_REVISIONS = 8


class RevisionLog:
    """Log of the newest loaded revisions.

    The revisions are an immutable tuple that is replaced as a whole, so that reads need no lock.

    Parameters
    ----------
    cache : PartCache
        Cache for the parts of the revisions.
    """

    def __init__(self, cache):
        self._cache = cache
        self._revisions = (loaded_revision.empty(),)

    @property
    def cache(self):
        """Cache of the parts of the revisions."""
        return self._cache

    @property
    def current(self):
        """Current revision."""
        return self._revisions[-1]

    def append(self, loaded):
        """Make a newer revision the current one; drops the oldest and its unused parts."""
        self._revisions = (*self._revisions, loaded)[-MAX_REVISIONS:]
        used_digests = set()
        for entry in self._revisions:
            used_digests.update(entry.manifest.values())
        self._cache.retain(used_digests)

    def revisions_between(self, base_digest, digest):
        """Return the revisions after ``base_digest`` up to ``digest``, or None.

        None unless the log contains both in this order, without a gap between them.
        """
        chain = None
        previous = ""
        for entry in self._revisions:
            if chain is not None and entry.revision.parent == previous:
                chain.append(entry)
            elif chain is not None:
                return None
            if chain is None and entry.digest == base_digest:
                chain = []
            previous = entry.digest
            if chain and entry.digest == digest:
                return chain
        return None

    def find(self, digest):
        """Return the revision with a digest, or None if it is not in the log."""
        for entry in self._revisions:
            if entry.digest == digest:
                return entry
        return None
