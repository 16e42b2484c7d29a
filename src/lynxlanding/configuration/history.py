"""Reads the chain of accepted revisions, as generators of store calls (see ``store_calls``)."""

from lynxlanding.configuration import change_ids, head, repository
from lynxlanding.errors import configuration as configuration_errors
from lynxlanding.errors import platform as platform_errors

# Largest tolerated difference between the clocks of change id generators and committing nodes.
MAX_CLOCK_SKEW_S = 300.0
# Revisions that garbage collection retains: about 3.7 days at 2,700 changes per day.
KEPT_REVISIONS = 10_000


def read(limit=20, before=None):
    """Return accepted revisions, newest first.

    Parameters
    ----------
    limit : int
        Maximum number of revisions.
    before : str or None
        Digest of the revision whose parent comes first in the list. None starts at the head.

    Returns
    -------
    list of Revision
        Fewer than ``limit`` if the retained history ends before.
    """
    if before is None:
        current, _ = yield from repository.read_head()
        digest = current.digest
    else:
        digest = (yield from repository.read_revision(before)).parent
    revisions = []
    while digest and len(revisions) < limit:
        try:
            revision = yield from repository.read_revision(digest)
        except platform_errors.ObjectNotFound:
            break
        revisions.append(revision)
        digest = revision.parent
    return revisions


def find_change(current, change_id):
    """Return the number of the revision that a change created, or None if it was not accepted.

    The head lists the most recent changes. Beyond them, the chain is read back to the creation
    time of the id; for an id without a time, the whole retained history is read.

    Raises
    ------
    errors.configuration.InvalidObject
        If the id is older than the retained history, so that the outcome cannot be determined.
    """
    for recent_id, number, _ in current.changes:
        if recent_id == change_id:
            return number
    if len(current.changes) < head.KEPT_CHANGES:
        return None
    issued_at = change_ids.issued_at(change_id)
    earliest = None if issued_at is None else issued_at - MAX_CLOCK_SKEW_S
    if earliest is not None and current.changes[0][2] < earliest:
        return None
    digest = current.digest
    while digest:
        try:
            revision = yield from repository.read_revision(digest)
        except platform_errors.ObjectNotFound as e:
            if issued_at is None:
                return None
            raise configuration_errors.InvalidObject(
                "change_id", f"{change_id} is older than the kept history; generate a new id"
            ) from e
        if revision.change_id == change_id:
            return revision.number
        if earliest is not None and revision.time < earliest:
            return None
        digest = revision.parent
    return None


def find_revision(change_id):
    """Return the ``Revision`` that a change created, or None if it was not accepted.

    Raises
    ------
    errors.configuration.InvalidObject
        If the id is older than the retained history, so that the outcome cannot be determined.
    """
    current, _ = yield from repository.read_head()
    number = yield from find_change(current, change_id)
    if number is None:
        return None
    try:
        later_revisions = yield from changes_since(current, number - 1)
    except platform_errors.ObjectNotFound as e:
        raise configuration_errors.InvalidObject(
            "change_id", f"{change_id} is older than the kept history"
        ) from e
    return later_revisions[-1]


def changes_since(current, number):
    """Return the revisions with a higher number, newest first."""
    revisions = []
    digest = current.digest
    while digest:
        revision = yield from repository.read_revision(digest)
        if revision.number <= number:
            break
        revisions.append(revision)
        digest = revision.parent
    return revisions
