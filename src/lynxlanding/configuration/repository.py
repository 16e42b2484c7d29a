"""Reads heads, revisions and snapshots from the store, as procedures of ``store_calls``."""

from lynxlanding.configuration import (
    encoding,
    head,
    part,
    part_cache,
    revision,
    snapshot,
    store_calls,
    store_layout,
)
from lynxlanding.errors import configuration as configuration_errors
from lynxlanding.errors import platform as platform_errors


def read_head():
    """Return the head and its store version; (revision 0, None) before the first change."""
    try:
        found = yield store_calls.Get(store_layout.HEADS, store_layout.CURRENT)
    except platform_errors.ObjectNotFound:
        return head.Head(), None
    return head.from_document(found.value), found.version


def read_revision(digest):
    """Return the revision with a digest; raises ``ObjectNotFound`` if it is no longer kept."""
    found = yield store_calls.Get(store_layout.REVISIONS, digest)
    return revision.from_document(found.value, digest)


def read_manifest(digest):
    """Return the manifest with a digest."""
    found = yield store_calls.Get(store_layout.PARTS, digest)
    return part.to_manifest(found.value, digest)


def load_snapshot(digest, cache=None):
    """Return the snapshot of a revision and its manifest.

    Parameters
    ----------
    digest : str
        Digest of the revision; empty for revision 0.
    cache : PartCache or None
        Objects that need not be read again.

    Returns
    -------
    tuple of (Snapshot, dict)
        All objects of the revision, and its manifest.
    """
    if digest == "":
        return snapshot.empty(), {}
    cache = part_cache.PartCache() if cache is None else cache
    loaded = yield from read_revision(digest)
    manifest = yield from read_manifest(loaded.manifest)
    for key, part_digest in manifest.items():
        if cache.get(part_digest) is not None:
            continue
        found = yield store_calls.Get(store_layout.PARTS, part_digest)
        cache.add(part_digest, part.to_spec(found.value, part_digest, key))
    return build_snapshot(loaded.number, digest, manifest, cache), manifest


def build_snapshot(number, digest, manifest, cache):
    """Return the snapshot of a manifest whose parts are all cached.

    Raises
    ------
    errors.configuration.InvalidObject
        If a part is missing, so that a revision is never in effect in part.
    """
    objects = snapshot.empty().objects
    for key, part_digest in manifest.items():
        spec = cache.get(part_digest)
        if spec is None:
            raise configuration_errors.InvalidObject(key, f"part {part_digest} is missing")
        kind, name = encoding.split_key(key)
        objects[kind][name] = spec
    return snapshot.Snapshot(number, digest, objects)
