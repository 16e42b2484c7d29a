"""Discovery of other nodes through the store's ``nodes`` objects and the settings."""

from lynxlanding.errors import platform as platform_errors

KIND = "nodes"
# Nodes that crash leave their object behind; other nodes delete it after this time. Must exceed the
# clock difference between nodes.
DELETE_AFTER_S = 600.0


class Discovery:
    """Writes the ``nodes`` object of the local node and reads those of the others.

    Parameters
    ----------
    store : ObjectStore
        The platform's store.
    info : NodeInfo
        The local node.
    configured_addresses : sequence of str
        Peer addresses from the settings.
    """

    def __init__(self, store, info, configured_addresses):
        self._store = store
        self._info = info
        self._configured_addresses = tuple(configured_addresses)
        self._version = None

    @property
    def configured_addresses(self):
        """Peer addresses from the settings."""
        return self._configured_addresses

    def register(self, now):
        """Write the object of the local node; raises ``errors.platform.PlatformError``.

        Parameters
        ----------
        now : float
            UNIX seconds.
        """
        info = self._info
        value = {
            "address": info.address,
            "place": info.place,
            "region": info.region,
            "incarnation": info.incarnation,
            "written_at": now,
        }
        try:
            if self._version is not None:
                updated = self._store.update(KIND, info.node_id, value, self._version)
                self._version = updated.version
                return
        except (platform_errors.ObjectNotFound, platform_errors.VersionConflict):
            # Another node deleted the object as stale, or the response to an earlier update was
            # lost.
            self._version = None
        try:
            self._version = self._store.create(KIND, info.node_id, value).version
        except platform_errors.ObjectExists:
            found = self._store.get(KIND, info.node_id)
            self._version = self._store.update(KIND, info.node_id, value, found.version).version

    def find_addresses(self, now):
        """Return the addresses of the other nodes and delete stale objects.

        Parameters
        ----------
        now : float
            UNIX seconds.
        """
        node_objects, _ = self._store.list(KIND)
        addresses = set(self._configured_addresses)
        for node_object in node_objects:
            if node_object.name == self._info.node_id:
                continue
            value = node_object.value if isinstance(node_object.value, dict) else {}
            address, written_at = value.get("address"), value.get("written_at", 0.0)
            if now - written_at > DELETE_AFTER_S:
                self._delete(node_object)
                continue
            if isinstance(address, str):
                addresses.add(address)
        addresses.discard(self._info.address)
        return sorted(addresses)

    def deregister(self):
        """Delete the object of the local node on a planned stop."""
        if self._version is not None:
            self._store.delete(KIND, self._info.node_id, self._version)

    def _delete(self, node_object):
        try:
            self._store.delete(KIND, node_object.name, node_object.version)
        except platform_errors.PlatformError:
            # Either another node has already deleted it, or the next call tries again.
            return
