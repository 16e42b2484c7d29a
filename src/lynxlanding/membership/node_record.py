"""State of one known node."""

from lynxlanding.membership import entry, scopes


class NodeRecord:
    """Heartbeat and entries of one incarnation of a node.

    Parameters
    ----------
    info : NodeInfo
        Identity of the incarnation.
    heartbeat : int
        Highest known heartbeat.
    now : float
        Monotonic seconds.
    """

    __slots__ = (
        "entries",
        "heartbeat_received_at",
        "heartbeat",
        "info",
        "is_live",
        "token",
        "versions",
    )

    def __init__(self, info, heartbeat, now):
        self.info = info
        self.token = info.token()
        self.heartbeat = heartbeat
        self.heartbeat_received_at = now
        self.is_live = True
        self.entries = {}
        self.versions = {scopes.PLACE: 0, scopes.WIDE: 0}

    def publish(self, key, value, scope):
        """Publish a value. Valid only on the record of the local node."""
        self.versions[scope] += 1
        self.entries[key] = entry.Entry(key, value, self.versions[scope], scope)

    def entries_after(self, scope, version):
        """Return the entries of a scope with a higher version, in order of version."""
        newer = []
        for published_entry in self.entries.values():
            if published_entry.scope == scope and published_entry.version > version:
                newer.append(published_entry)
        newer.sort(key=lambda published_entry: published_entry.version)
        return newer

    def merge(self, new_entry):
        """Store an entry if its version is newer; return whether it was stored."""
        existing = self.entries.get(new_entry.key)
        if (
            existing is not None
            and existing.scope == new_entry.scope
            and existing.version >= new_entry.version
        ):
            return False
        self.entries[new_entry.key] = new_entry
        return True
