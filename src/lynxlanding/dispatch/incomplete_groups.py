"""Groups that a member has left."""

from lynxlanding.fleet import endpoint_change

_MEMBERSHIP_CHANGES = frozenset({endpoint_change.REGROUPED, endpoint_change.RESTARTED})


class IncompleteGroups:
    """Tracks groups that lack a member according to the registry; performs no I/O.

    The head of such a group goes on accepting requests, but cannot work on them. A member without a
    registration does not count as missing: it may only be disconnected from the store.
    """

    def __init__(self):
        # Ids of the missing members by group.
        self._missing = {}

    def apply(self, change):
        """Record an ``EndpointChange`` of the registry."""
        if change.kind not in _MEMBERSHIP_CHANGES or change.known is None:
            return
        before = _group_key(change.known)
        after = _group_key(change.record)
        if before == after:
            return
        endpoint_id = change.record.endpoint_id
        if before is not None:
            self._missing.setdefault(before, set()).add(endpoint_id)
        if after is not None:
            self._missing.get(after, set()).discard(endpoint_id)

    def retain(self, heads):
        """Forget the groups that are not among those of the given heads."""
        if not self._missing:
            return
        kept = {}
        for record in heads:
            key = _group_key(record)
            if self._missing.get(key):
                kept[key] = self._missing[key]
        self._missing = kept

    def is_incomplete(self, head):
        """Return whether the group of a head lacks a member."""
        return bool(self._missing.get(_group_key(head)))


def _group_key(record):
    membership = record.membership
    if membership is None:
        return None
    return record.service, membership.name, membership.epoch
