"""Claims that this node owns, for repeats that wait for their outcome."""

import dataclasses
import threading

from lynxlanding.requests import claim_events, claim_record

# An outcome stays in memory after it was written, because a waiting repeat may ask once more.
KEEP_WRITTEN_S = 30.0
# A create whose answer was lost and that a later read did not find may still take effect. This is
# far longer than the store client's timeout.
KEEP_UNCONFIRMED_S = 600.0


@dataclasses.dataclass(slots=True)
class OwnClaim:
    """One claim of this node.

    Parameters
    ----------
    name : str
        Object name of the claim.
    record : ClaimRecord
        The claim; its state is ``claimed`` until the outcome is final.
    ended : threading.Event
        Set when the outcome is final.
    forget_at : float or None
        Monotonic time after which the entry may go; None while it is the only copy.
    """

    name: str
    record: claim_record.ClaimRecord
    ended: threading.Event
    forget_at: float | None = None

    def answer(self):
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

    def begin(self, name, record):
        """Add a claim before it is written to the store."""
        self._by_token[record.token] = OwnClaim(name, record, threading.Event())
        self._token_by_name[name] = record.token

    def end(self, record):
        """Set the final outcome and wake the repeats that wait for it."""
        claim = self._by_token[record.token]
        claim.record = record
        claim.ended.set()

    def mark_written(self, token, now, keep_s=KEEP_WRITTEN_S):
        """Note that the store holds the outcome, so that the entry may go after ``keep_s``."""
        claim = self._by_token.get(token)
        if claim is not None:
            claim.forget_at = now + keep_s

    def find(self, token):
        """Return the claim with a token, or None."""
        return self._by_token.get(token)

    def find_by_name(self, name):
        """Return the newest own claim of a key that is not released, or None."""
        claim = self._by_token.get(self._token_by_name.get(name))
        if claim is None or claim.record.state == claim_record.NOT_RUN:
            return None
        return claim

    def forget(self, now):
        """Remove the entries whose time has passed."""
        for token, claim in list(self._by_token.items()):
            if claim.forget_at is None or claim.forget_at > now:
                continue
            del self._by_token[token]
            if self._token_by_name.get(claim.name) == token:
                del self._token_by_name[claim.name]
