"""Treats an unreachable claim owner as dead if it is not a live member."""

from lynxlanding.requests import claim_events


class MembershipOwnerLookup:
    """``OwnerLookup`` that also consults the list of live nodes.

    A VM that no longer exists does not refuse connections: requests to it only time out. A repeated
    request would wait for it until its own deadline.

    Parameters
    ----------
    lookup : OwnerLookup
        Asks the owner for the outcome.
    """

    def __init__(self, lookup):
        self._lookup = lookup
        self._live = None

    def set_live_node_ids(self, node_ids):
        """Set the live nodes."""
        self._live = frozenset(node_ids)

    def ask(self, owner, token, wait_s):
        """Wait up to ``wait_s`` seconds for the outcome; never raises."""
        event = self._lookup.ask(owner, token, wait_s)
        if event.outcome != claim_events.UNREACHABLE:
            return event
        if self._live is None or owner.node_id in self._live:
            return event
        return claim_events.OwnerAnswered(claim_events.DEAD)
