"""Garbage collection of parts and revisions that no retained revision references."""

import dataclasses

from lynxlanding.configuration import history, repository, store_calls, store_layout
from lynxlanding.errors import platform as platform_errors

# Newest revisions whose manifests and parts are retained, so that a node that lags slightly can
# still load the revision it was told of. Older ones keep only their revision, for the history.
KEPT_MANIFESTS = 16


@dataclasses.dataclass(slots=True, frozen=True)
class CollectionResult:
    """Outcome of one collection.

    Parameters
    ----------
    deleted : int
        Number of deleted objects.
    started : bool
        False if there is no head, or if its update failed or has an unknown outcome, for example
        after a concurrent change; nothing was deleted then.
    """

    deleted: int
    started: bool


def collect(kept_manifests=KEPT_MANIFESTS, kept_revisions=history.KEPT_REVISIONS):
    """Delete orphaned parts and revisions; a generator of store calls (see ``store_calls``).

    The objects are listed first; then a conditional update of the head increments its collection
    counter. A concurrent commit that read the head before therefore fails its own update, retries
    and renews the versions of its parts. Deletes are conditional on the listed version, so a part
    that a commit uses is never deleted. This does not depend on clocks or timeouts.

    Returns
    -------
    CollectionResult
        Number of deleted objects, and whether the collection started.
    """
    current, version = yield from repository.read_head()
    if version is None:
        return CollectionResult(0, False)
    used_parts, used_revisions = yield from _find_used(current, kept_manifests, kept_revisions)
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
    updated = current.with_collection()
    try:
        yield store_calls.Update(
            store_layout.HEADS, store_layout.CURRENT, updated.to_document(), version
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


def _find_used(current, kept_manifests, kept_revisions):
    used_parts, used_revisions = set(), set()
    digest = current.digest
    while digest and len(used_revisions) < kept_revisions:
        try:
            revision = yield from repository.read_revision(digest)
        except platform_errors.ObjectNotFound:
            break
        used_revisions.add(digest)
        if len(used_revisions) <= kept_manifests:
            used_parts.add(revision.manifest)
            manifest = yield from repository.read_manifest(revision.manifest)
            used_parts.update(manifest.values())
        digest = revision.parent
    return used_parts, used_revisions
