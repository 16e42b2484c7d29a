"""Claims of this node, for repeated requests that wait for their outcome."""

import dataclasses
import threading

from lynxlanding.requests import claim_events, claim_record

# A written outcome stays in memory for a while, because a waiting node may ask for it once more.
WRITTEN_RETENTION_S = 30.0
# A create whose response was lost may still take effect after a read has not found the claim. This
# is far longer than the timeout of the store client.
UNCONFIRMED_RETENTION_S = 600.0


@dataclasses.dataclass(slots=True)
class OwnClaim:
    """A claim of this node.

    Parameters
    ----------
    name : str
        Object name of the claim.
    record : ClaimRecord
        The claim; its state is ``claimed`` until the outcome is final.
    finished : threading.Event
        Set when the outcome is final.
    expires_at : float or None
        Monotonic time after which the entry may be removed; None while the outcome is not stored.
    """

    name: str
    record: claim_record.ClaimRecord
    finished: threading.Event
    expires_at: float | None = None

    def outcome_event(self):
        """Return the outcome as an event."""
        if self.record.state == claim_record.CLAIMED:
            return claim_events.OwnerAnswered(claim_events.PENDING)
        return claim_events.OwnerAnswered(self.record.state, self.record.response)


class ClaimRegistry:
    """Own claims by token and by name; not safe for concurrent use."""

    def __init__(self):
        self._by_token = {}
        self._token_by_name = {}

    def __len__(self):
        return len(self._by_token)

    def add(self, name, record):
        """Add a claim before it is written to the store."""
        self._by_token[record.token] = OwnClaim(name, record, threading.Event())
        self._token_by_name[name] = record.token

    def finish(self, record):
        """Set the final outcome and wake the threads that wait for it."""
        claim = self._by_token[record.token]
        claim.record = record
        claim.finished.set()

    def mark_written(self, token, now, retention_s=WRITTEN_RETENTION_S):
        """Allow the removal of a claim ``retention_s`` seconds after its outcome was stored."""
        claim = self._by_token.get(token)
        if claim is not None:
            claim.expires_at = now + retention_s

    def find(self, token):
        """Return the claim with a token, or None."""
        return self._by_token.get(token)

    def find_by_name(self, name):
        """Return the newest own claim with an object name unless it is released, or None."""
        claim = self._by_token.get(self._token_by_name.get(name))
        if claim is None or claim.record.state == claim_record.NOT_RUN:
            return None
        return claim

    def remove_expired(self, now):
        """Remove the entries whose retention has ended."""
        for token, claim in list(self._by_token.items()):
            if claim.expires_at is None or claim.expires_at > now:
                continue
            del self._by_token[token]
            if self._token_by_name.get(claim.name) == token:
                del self._token_by_name[claim.name]
