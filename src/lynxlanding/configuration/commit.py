"""Commits a change: creates its immutable objects, then updates the head conditionally."""

import dataclasses

from lynxlanding.configuration import (
    change_ids,
    encoding,
    history,
    loaded_revision,
    part,
    plan,
    repository,
    revision,
    snapshot,
    store_calls,
    store_layout,
)
from lynxlanding.errors import configuration as configuration_errors
from lynxlanding.errors import platform as platform_errors

# Each concurrent head update costs one attempt. With three operators and a garbage collection,
# more than a few conflicts in a row mean that the head changes faster than it can be read.
MAX_ATTEMPTS = 20
MAX_PART_ATTEMPTS = 10

COMMITTED = "committed"
REPEATED = "repeated"
NO_DIFFERENCE = "no_difference"


@dataclasses.dataclass(slots=True, frozen=True)
class CommitResult:
    """Outcome of an accepted change.

    Parameters
    ----------
    revision : int
        Revision that contains the change.
    digest : str or None
        Digest of that revision; None if it was found in the history and is not the head.
    outcome : {"committed", "repeated", "no_difference"}
        ``committed``: this submission was accepted. ``repeated``: an earlier submission with the
        same id was accepted. ``no_difference``: nothing to change, no revision was created.
    entries : list of DifferenceEntry
        Objects that the change altered; empty if the change was found in the head or history.
    loaded : LoadedRevision or None
        The revision, if this submission wrote it. The committing node applies it and serves it to
        its peers even if the store becomes unavailable right after the commit.
    """

    revision: int
    digest: str | None
    outcome: str
    entries: list
    loaded: loaded_revision.LoadedRevision | None = None


def commit(change, now, cache=None, capacity=None):
    """Commit a change; a generator of store calls (see ``store_calls``).

    A change is accepted if the head update succeeded, or if the head or its history contains the
    change id. If another change updates the head first, this one is validated again on the new
    head, unless both change the same objects.

    Parameters
    ----------
    change : Change
        Change to commit.
    now : float
        UNIX seconds.
    cache : PartCache or None
        Parts that need not be read again.
    capacity : Capacity or None
        Existing VMs, for validation.

    Returns
    -------
    CommitResult
        The accepted revision.

    Raises
    ------
    errors.configuration.InvalidObject
        If the change is invalid; nothing was changed.
    errors.configuration.RevisionConflict
        If another change of the same objects was accepted first; nothing was changed.
    errors.configuration.CommitOutcomeUnknown
        If the outcome of the head update could not be read back.
    errors.platform.StoreUnavailable
        If the store failed before the head update was sent; nothing was changed.
    """
    if not change_ids.ACCEPTED_PATTERN.fullmatch(change.change_id):
        raise configuration_errors.InvalidObject("change_id", "must match [0-9A-Za-z._-]{1,64}")
    submission = _Submission(change, now, cache, capacity)
    not_found = None
    for _ in range(MAX_ATTEMPTS):
        try:
            result = yield from submission.run()
        except platform_errors.ObjectNotFound as e:
            # Garbage-collected after the head changed; the next attempt reads the new head.
            not_found = e
            continue
        except platform_errors.PlatformError as e:
            # An update whose response was lost may still be applied while the head has the
            # expected version; only a newer head version proves that it was not.
            if submission.is_pending:
                raise configuration_errors.CommitOutcomeUnknown(
                    f"change {change.change_id}: the outcome could not be read: {e}"
                ) from e
            raise
        if result is not None:
            return result
    if submission.is_pending:
        raise configuration_errors.CommitOutcomeUnknown(
            f"change {change.change_id}: the store lost {MAX_ATTEMPTS} answers"
        )
    if not_found is not None:
        raise not_found
    raise configuration_errors.RevisionConflict(*submission.last_change)


class _Submission:
    """One submission of a change, with the state kept between its attempts."""

    def __init__(self, change, now, cache, capacity):
        self._change = change
        self._now = now
        self._cache = cache
        self._capacity = capacity
        self._base_number = change.base_revision
        self._pending = False
        self._pending_version = None
        self._response_lost = False
        self._last_change = ("", 0)
        self._written = None

    @property
    def is_pending(self):
        """Whether a head update with a lost response may still be applied."""
        return self._pending

    @property
    def last_change(self):
        """Change id and revision number of the latest change in the last head read."""
        return self._last_change

    def run(self):
        """Make one attempt; returns the result, or None if another attempt is needed."""
        change = self._change
        current, version = yield from repository.read_head()
        if current.changes:
            self._last_change = current.changes[-1][:2]
        accepted_number = yield from history.find_change(current, change.change_id)
        if accepted_number is not None:
            yield from self._check_request_matches(current, accepted_number)
            digest = current.digest if accepted_number == current.number else None
            outcome = COMMITTED if self._response_lost else REPEATED
            is_written = self._written is not None and self._written.digest == digest
            return CommitResult(
                accepted_number, digest, outcome, [], self._written if is_written else None
            )
        if self._pending and version != self._pending_version:
            self._pending = False
        if self._base_number is None:
            self._base_number = current.number
        if current.number != self._base_number:
            yield from self._check_overlap(current)
        base = yield from repository.load(current.digest, self._cache)
        planned = plan.make(change, base.snapshot, self._now, self._capacity)
        if planned.problems:
            raise planned.problems[0]
        if not planned.entries:
            return CommitResult(current.number, current.digest, NO_DIFFERENCE, [])
        # Times never decrease along the chain, even if a paused node commits late. A search for a
        # change id can therefore stop at the first revision older than the id.
        time = max(self._now, current.changes[-1][2]) if current.changes else self._now
        self._written, parts = yield from self._write_revision(
            current, base.manifest, planned, time
        )
        digest = self._written.digest
        successor = current.successor(self._written, change.change_id, time, parts)
        document = successor.to_document()
        try:
            if version is None:
                yield store_calls.Create(store_layout.HEADS, store_layout.CURRENT, document)
            else:
                yield store_calls.Update(
                    store_layout.HEADS, store_layout.CURRENT, document, version
                )
        except (
            platform_errors.VersionConflict,
            platform_errors.ObjectExists,
            platform_errors.ObjectNotFound,
        ):
            return None
        except platform_errors.StoreOutcomeUnknown:
            self._pending, self._pending_version, self._response_lost = True, version, True
            return None
        return CommitResult(successor.number, digest, COMMITTED, planned.entries, self._written)

    def _check_overlap(self, current):
        try:
            later_revisions = yield from history.changes_since(current, self._base_number)
        except platform_errors.ObjectNotFound as e:
            raise configuration_errors.InvalidObject(
                "base_revision", f"{self._base_number} is older than the kept history"
            ) from e
        changed_keys = self._change.keys()
        for conflicting in reversed(later_revisions):
            if changed_keys & conflicting.changed.keys():
                raise configuration_errors.RevisionConflict(
                    conflicting.change_id, conflicting.number
                )

    def _check_request_matches(self, current, number):
        try:
            later_revisions = yield from history.changes_since(current, number - 1)
        except platform_errors.ObjectNotFound:
            return
        if later_revisions and later_revisions[-1].request != self._change.request_digest():
            raise configuration_errors.InvalidObject(
                "change_id",
                f"{self._change.change_id} was used for other objects in revision {number}",
            )

    def _write_revision(self, current, manifest, planned, time):
        """Create the parts and the revision; returns the ``LoadedRevision`` and part documents."""
        new_manifest = dict(manifest)
        parts = {}
        changed = {}
        for entry in planned.entries:
            kind, name = encoding.split_key(entry.key)
            if entry.action == "delete":
                del new_manifest[entry.key]
                changed[entry.key] = None
                continue
            document = part.from_spec(kind, name, planned.objects[kind][name])
            digest = encoding.digest(document)
            yield from _create_or_renew(store_layout.PARTS, digest, document)
            parts[digest] = document
            new_manifest[entry.key] = digest
            changed[entry.key] = digest
        manifest_document = part.from_manifest(new_manifest)
        manifest_digest = encoding.digest(manifest_document)
        try:
            yield from _create_or_renew(store_layout.PARTS, manifest_digest, manifest_document)
        except platform_errors.ValueTooLarge as e:
            raise configuration_errors.InvalidObject(
                "manifest", f"{len(new_manifest)} objects exceed the store's limit of 1 MB"
            ) from e
        written = revision.Revision(
            current.number + 1,
            current.digest,
            self._change.change_id,
            self._change.request_digest(),
            self._change.author,
            time,
            self._change.statements,
            changed,
            manifest_digest,
        )
        document = written.to_document()
        digest = encoding.digest(document)
        yield from _create_or_renew(store_layout.REVISIONS, digest, document)
        built = snapshot.Snapshot(written.number, digest, planned.objects)
        loaded = loaded_revision.LoadedRevision(digest, document, written, new_manifest, built)
        return loaded, parts


def _create_or_renew(kind, digest, document):
    """Create an immutable object, or renew the version of an existing one.

    An existing object may be an orphan that a garbage collection is about to delete. The
    collection deletes only the version that it listed, so the new version protects the object.
    """
    for _ in range(MAX_PART_ATTEMPTS):
        try:
            yield store_calls.Create(kind, digest, document)
        except platform_errors.ObjectExists:
            pass
        except platform_errors.StoreOutcomeUnknown:
            continue
        else:
            return
        try:
            stored = yield store_calls.Get(kind, digest)
            yield store_calls.Update(kind, digest, document, stored.version)
        except (
            platform_errors.ObjectNotFound,
            platform_errors.VersionConflict,
            platform_errors.StoreOutcomeUnknown,
        ):
            continue
        return
    raise platform_errors.StoreUnavailable(f"{kind}/{digest} could not be written")
