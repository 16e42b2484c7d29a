"""Owner of the node's own claims and of its share of the store's write rate."""

import dataclasses

import pykka

from lynxlanding.requests import claim_events, claim_registry, write_rate_limiter


@dataclasses.dataclass(slots=True, frozen=True)
class Admission:
    """Answer to a submission that wants to claim.

    Parameters
    ----------
    known : OwnClaim or None
        Claim of the same key that this node holds already.
    retry_after_s : float or None
        Set if the submission must be refused because of the write rate.
    """

    known: claim_registry.OwnClaim | None
    retry_after_s: float | None


class ClaimActor(pykka.ThreadingActor):
    """Runs the registry and the write limit in one thread.

    Parameters
    ----------
    fleet_writes_per_s : float
        Writes per second that all nodes together may spend on claims.
    now : float
        Monotonic time, in seconds.
    """

    use_daemon_thread = True

    def __init__(self, fleet_writes_per_s, now):
        super().__init__()
        self._registry = claim_registry.ClaimRegistry()
        self._limit = write_rate_limiter.WriteLimit(fleet_writes_per_s, now)

    def begin(self, name, record, now):
        """Register a submission and reserve its store writes."""
        self._registry.forget(now)
        known = self._registry.find_by_name(name)
        if known is not None:
            return Admission(known, None)
        retry_after_s = self._limit.take_claim(now)
        if retry_after_s is None:
            self._registry.begin(name, record)
        return Admission(None, retry_after_s)

    def register(self, name, record):
        """Register a submission that claims after an earlier one of this node gave up."""
        self._registry.begin(name, record)

    def end(self, record):
        """Set the final outcome of an own claim."""
        self._registry.end(record)

    def mark_written(self, token, now, keep_s):
        """Note that nothing is left to write for an own claim."""
        self._registry.mark_written(token, now, keep_s)

    def find(self, token):
        """Return the own claim with a token, or None."""
        return self._registry.find(token)

    def set_nodes(self, nodes, now):
        """Set the number of live nodes that share the write rate."""
        self._limit.set_nodes(nodes, now)

    def size(self):
        """Return the number of own claims in memory."""
        return len(self._registry)


def answer_of(claim):
    """Return the outcome of an own claim, or of one that is not in memory, as an event."""
    if claim is None:
        return claim_events.OwnerAnswered(claim_events.FORGOTTEN)
    return claim.answer()
