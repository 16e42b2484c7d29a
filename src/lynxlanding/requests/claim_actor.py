"""Actor that holds the node's own claims and its share of the store's write rate."""

import dataclasses

import pykka

from lynxlanding.requests import claim_events, claim_registry, write_rate_limiter


@dataclasses.dataclass(slots=True, frozen=True)
class ClaimAdmission:
    """Whether a submission may write a claim.

    Parameters
    ----------
    existing : OwnClaim or None
        Claim of the same key that this node already owns.
    retry_after_s : float or None
        If the submission must be refused because of the write rate, seconds until a retry can
        succeed.
    """

    existing: claim_registry.OwnClaim | None
    retry_after_s: float | None


class ClaimActor(pykka.ThreadingActor):
    """Serialises access to the claim registry and the write rate limiter.

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
        self._write_limiter = write_rate_limiter.WriteRateLimiter(fleet_writes_per_s, now)

    def begin(self, name, record, now):
        """Register a submission and reserve its store writes, or return why it may not write.

        Returns
        -------
        ClaimAdmission
        """
        self._registry.remove_expired(now)
        existing = self._registry.find_by_name(name)
        if existing is not None:
            return ClaimAdmission(existing, None)
        retry_after_s = self._write_limiter.reserve_claim(now)
        if retry_after_s is None:
            self._registry.add(name, record)
        return ClaimAdmission(None, retry_after_s)

    def register(self, name, record):
        """Register a submission that claims a key released by an earlier claim."""
        self._registry.add(name, record)

    def finish(self, record):
        """Set the final outcome of an own claim."""
        self._registry.finish(record)

    def mark_written(self, token, now, retention_s):
        """Record that nothing is left to write for an own claim."""
        self._registry.mark_written(token, now, retention_s)

    def find(self, token):
        """Return the own claim with a token, or None."""
        return self._registry.find(token)

    def set_nodes(self, nodes, now):
        """Set the number of live nodes that share the write rate."""
        self._write_limiter.set_nodes(nodes, now)

    def size(self):
        """Return the number of own claims in memory."""
        return len(self._registry)


def outcome_event(claim):
    """Return the outcome of an own claim, or of one that is not in memory (None), as an event."""
    if claim is None:
        return claim_events.OwnerAnswered(claim_events.FORGOTTEN)
    return claim.outcome_event()
