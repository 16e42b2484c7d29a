"""Construction of digest entries and of deltas of limited size."""

from lynxlanding.membership import messages, scopes

# Size limit of the deltas in one message. Entries are sent in order of version, so the remaining
# ones follow in later exchanges.
MAX_DELTA_BYTES = 64_000
ENTRY_OVERHEAD_BYTES = 24
NODE_OVERHEAD_BYTES = 48


def digest_entry(record, scope):
    """Return the digest entry of a record for an exchange of the given scope."""
    place_version = record.versions[scopes.PLACE] if scope == scopes.PLACE else 0
    return messages.DigestEntry(record.heartbeat, place_version, record.versions[scopes.WIDE])


def has_newer_version(first, second):
    """Return whether the first digest entry has a higher version in some scope."""
    return first.place_version > second.place_version or first.wide_version > second.wide_version


def build_deltas(outdated, scope):
    """Return the deltas for records that are out of date on the receiver.

    Parameters
    ----------
    outdated : list of (NodeRecord, DigestEntry or None)
        Records and the receiver's digest entries; None if it does not know the incarnation.
    scope : {"place", "wide"}
        Scope of the exchange.
    """
    deltas = []
    size = 0
    for record, remote in outdated:
        remote_entry = remote or messages.DigestEntry(0, 0, 0)
        size += NODE_OVERHEAD_BYTES
        entries = []
        place_version, wide_version = remote_entry.place_version, remote_entry.wide_version
        is_complete = True
        if scope == scopes.PLACE:
            newer = record.entries_after(scopes.PLACE, remote_entry.place_version)
            place_version, size, is_complete = _append_within_limit(
                newer, entries, place_version, size
            )
            if is_complete:
                place_version = record.versions[scopes.PLACE]
        newer = record.entries_after(scopes.WIDE, remote_entry.wide_version)
        wide_version, size, is_wide_complete = _append_within_limit(
            newer, entries, wide_version, size
        )
        if is_wide_complete:
            wide_version = record.versions[scopes.WIDE]
        deltas.append(
            messages.NodeDelta(
                record.token,
                record.info if remote is None else None,
                record.heartbeat,
                place_version,
                wide_version,
                entries,
            )
        )
        if size >= MAX_DELTA_BYTES:
            break
    return deltas


def _append_within_limit(newer, entries, version, size):
    for published_entry in newer:
        if size >= MAX_DELTA_BYTES:
            return version, size, False
        entries.append(published_entry)
        version = published_entry.version
        size += len(published_entry.key) + len(published_entry.value) + ENTRY_OVERHEAD_BYTES
    return version, size, True
