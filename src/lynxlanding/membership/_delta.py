"""Builds digests and bounded deltas."""

from lynxlanding.membership import messages, scopes

# Bound on one message; what does not fit follows in the next exchanges, lowest versions first.
MAX_DELTA_BYTES = 64_000
ENTRY_OVERHEAD_BYTES = 24
NODE_OVERHEAD_BYTES = 48


def digest_entry(record, scope):
    """Return what is known about a record in an exchange of a scope."""
    place_version = record.versions[scopes.PLACE] if scope == scopes.PLACE else 0
    return messages.DigestEntry(record.heartbeat, place_version, record.versions[scopes.WIDE])


def is_ahead(one, other):
    """Return whether one side has entries that the other lacks."""
    return one.place_version > other.place_version or one.wide_version > other.wide_version


def build(behind, scope):
    """Return the deltas for the records that the receiver is behind on.

    Parameters
    ----------
    behind : list of (NodeRecord, DigestEntry or None)
        Records and what the receiver knows of them; None if it does not know the incarnation.
    scope : {"place", "wide"}
        Scope of the exchange.
    """
    deltas = []
    size = 0
    for record, theirs in behind:
        known = theirs or messages.DigestEntry(0, 0, 0)
        size += NODE_OVERHEAD_BYTES
        entries = []
        place_version, wide_version = known.place_version, known.wide_version
        is_complete = True
        if scope == scopes.PLACE:
            newer = record.entries_after(scopes.PLACE, known.place_version)
            place_version, size, is_complete = _take(newer, entries, place_version, size)
            if is_complete:
                place_version = record.versions[scopes.PLACE]
        newer = record.entries_after(scopes.WIDE, known.wide_version)
        wide_version, size, is_wide_complete = _take(newer, entries, wide_version, size)
        if is_wide_complete:
            wide_version = record.versions[scopes.WIDE]
        deltas.append(
            messages.NodeDelta(
                record.token,
                record.info if theirs is None else None,
                record.heartbeat,
                place_version,
                wide_version,
                entries,
            )
        )
        if size >= MAX_DELTA_BYTES:
            break
    return deltas


def _take(newer, entries, version, size):
    for item in newer:
        if size >= MAX_DELTA_BYTES:
            return version, size, False
        entries.append(item)
        version = item.version
        size += len(item.key) + len(item.value) + ENTRY_OVERHEAD_BYTES
    return version, size, True
