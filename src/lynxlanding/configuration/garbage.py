"""Garbage collection of parts and revisions that no kept revision uses."""

import dataclasses

from lynxlanding.configuration import history, repository, store_calls, store_layout
from lynxlanding.errors import platform as platform_errors

# Revisions whose manifests and parts are kept, so that a node that is a little behind can still
# load the revision it heard of. Older revisions keep their entry in the history only.
KEPT_MANIFESTS = 16


@dataclasses.dataclass(slots=True, frozen=True)
class CollectionResult:
    """Outcome of one collection.

    Parameters
    ----------
    deleted : int
        Objects that were deleted.
    started : bool
        False if another change or collection came first and nothing was deleted.
    """

    deleted: int
    started: bool


def collect(kept_manifests=KEPT_MANIFESTS, kept_revisions=history.KEPT_REVISIONS):
    """Delete orphaned parts and revisions; a procedure of ``store_calls``.

    The objects are listed first; then a conditional update of the head counts the collection. A
    commit that read the head earlier therefore fails its own update and renews the versions of
    its parts, and a delete names the listed version. So a part that a commit uses is never
    deleted, with no assumption about time.

    Returns
    -------
    CollectionResult
        Number of deleted objects.
    """
    current, version = yield from repository.read_head()
    if version is None:
        return CollectionResult(0, False)
    used_parts, used_revisions = yield from _used(current, kept_manifests, kept_revisions)
    orphans = []
    for kind, used in (
        (store_layout.PARTS, used_parts),
        (store_layout.REVISIONS, used_revisions),
    ):
        listed, _ = yield store_calls.ListKind(kind)
        for item in listed:
            if item.name not in used:
                orphans.append(item)
    if not orphans:
        return CollectionResult(0, True)
    marked = current.with_collection()
    try:
        yield store_calls.Update(
            store_layout.HEADS, store_layout.CURRENT, marked.to_document(), version
        )
    except (platform_errors.VersionConflict, platform_errors.StoreOutcomeUnknown):
        return CollectionResult(0, False)
    deleted = 0
    for item in orphans:
        try:
            yield store_calls.Delete(item.kind, item.name, item.version)
        except (platform_errors.VersionConflict, platform_errors.ObjectNotFound):
            continue
        except platform_errors.StoreOutcomeUnknown:
            continue
        deleted += 1
    return CollectionResult(deleted, True)


def _used(current, kept_manifests, kept_revisions):
    used_parts, used_revisions = set(), set()
    digest = current.digest
    while digest and len(used_revisions) < kept_revisions:
        try:
            found = yield from repository.read_revision(digest)
        except platform_errors.ObjectNotFound:
            break
        used_revisions.add(digest)
        if len(used_revisions) <= kept_manifests:
            used_parts.add(found.manifest)
            manifest = yield from repository.read_manifest(found.manifest)
            used_parts.update(manifest.values())
        digest = found.parent
    return used_parts, used_revisions
