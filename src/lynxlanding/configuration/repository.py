"""Reads the head, revisions and snapshots, as generators of store calls (see ``store_calls``)."""

from lynxlanding.configuration import (
    encoding,
    head,
    loaded_revision,
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
    """Return the head and its store version; the head of revision 0 and None if there is none."""
    try:
        stored = yield store_calls.Get(store_layout.HEADS, store_layout.CURRENT)
    except platform_errors.ObjectNotFound:
        return head.Head(), None
    return head.from_document(stored.value), stored.version


def read_revision(digest):
    """Return the revision with a digest; raises ``ObjectNotFound`` if it was deleted."""
    stored = yield store_calls.Get(store_layout.REVISIONS, digest)
    return revision.from_document(stored.value, digest)


def read_manifest(digest):
    """Return the manifest with a digest."""
    stored = yield store_calls.Get(store_layout.PARTS, digest)
    return part.to_manifest(stored.value, digest)


def load(digest, cache=None):
    """Load and verify a revision with its manifest and all its objects.

    Parameters
    ----------
    digest : str
        Digest of the revision; empty for revision 0.
    cache : PartCache or None
        Parts that need not be read again; receives the others.

    Returns
    -------
    LoadedRevision
        The verified revision.
    """
    if digest == "":
        return loaded_revision.empty()
    cache = part_cache.PartCache() if cache is None else cache
    stored = yield store_calls.Get(store_layout.REVISIONS, digest)
    document = stored.value
    loaded = revision.from_document(document, digest)
    manifest = yield from read_manifest(loaded.manifest)
    # Not left to the cache: another thread may evict parts that no kept revision uses yet.
    specs = {}
    for key, part_digest in manifest.items():
        spec = cache.get(part_digest)
        if spec is None:
            stored = yield store_calls.Get(store_layout.PARTS, part_digest)
            spec = cache.add(key, part_digest, stored.value)
        specs[key] = spec
    built = build_snapshot(loaded.number, digest, manifest, specs)
    return loaded_revision.LoadedRevision(digest, document, loaded, manifest, built)


def build_snapshot(number, digest, manifest, specs):
    """Return the snapshot of a manifest.

    Parameters
    ----------
    number : int
        Revision number.
    digest : str
        Digest of the revision.
    manifest : dict of str to str
        Part digest by ``kind/name``.
    specs : dict of str to Spec
        Objects by ``kind/name``.

    Raises
    ------
    errors.configuration.InvalidObject
        If an object is missing, so that a revision is never applied partly.
    """
    objects = snapshot.empty().objects
    for key, part_digest in manifest.items():
        spec = specs.get(key)
        if spec is None:
            raise configuration_errors.InvalidObject(key, f"part {part_digest} is missing")
        kind, name = encoding.split_key(key)
        objects[kind][name] = spec
    return snapshot.Snapshot(number, digest, objects)
