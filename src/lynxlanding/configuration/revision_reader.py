"""Reads accepted revisions from the store."""

from lynxlanding.configuration import configuration_actor, kinds, snapshot
from lynxlanding.errors import platform as platform_errors


class RevisionReader:
    """Builds snapshots from the head, its revision object and the parts.

    Parameters
    ----------
    store : ObjectStore
        The platform's store.
    """

    def __init__(self, store):
        self._store = store
        self._parts = {}

    def read(self, known_revision):
        """Return the head's snapshot, or None if it is not newer than ``known_revision``."""
        try:
            head = self._store.get(configuration_actor.HEAD_KIND, configuration_actor.HEAD_NAME)
        except platform_errors.ObjectNotFound:
            return None
        if head.value["revision"] <= known_revision:
            return None
        digest = head.value["digest"]
        manifest = self._store.get("config-revisions", digest).value["manifest"]
        objects = {kind: {} for kind in kinds.SPEC_BY_KIND}
        for identity, part_digest in manifest.items():
            kind, _, name = identity.partition("/")
            objects[kind][name] = self._part(kind, part_digest)
        return snapshot.Snapshot(head.value["revision"], digest, objects)

    def _part(self, kind, digest):
        if digest not in self._parts:
            value = self._store.get("config-parts", digest).value
            self._parts[digest] = kinds.SPEC_BY_KIND[kind].model_validate(value["spec"])
        return self._parts[digest]
