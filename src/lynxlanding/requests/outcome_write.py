"""Writes the outcome of a claim with retries; decides on the store calls."""

from lynxlanding.requests import claim_decisions, claim_events, claim_record

FIRST_DELAY_S = 0.1
# Outages of the store last from seconds to hours. A retry every few seconds costs little and
# shortens the time in which the outcome exists only in this node's memory.
MAX_DELAY_S = 5.0


class OutcomeWrite:
    """Update of one claim to its final state.

    Parameters
    ----------
    record : ClaimRecord
        Claim in its final state.
    version : int or None
        Store version of the claim; None if its creation was never confirmed.
    random_state : numpy.random.Generator
        Source of the jitter.
    """

    def __init__(self, record, version, random_state):
        self._record = record
        self._version = version
        self._random_state = random_state
        self._delay_s = FIRST_DELAY_S
        self._was_missing = False

    @property
    def was_missing(self):
        """Whether the store had no such claim. An unconfirmed create may still take effect."""
        return self._was_missing

    @property
    def record(self):
        """The claim in its final state."""
        return self._record

    def next_call(self):
        """Return the store call to make."""
        if self._version is None:
            return claim_decisions.ReadClaim()
        return claim_decisions.UpdateClaim(self._record, self._version)

    def handle(self, event):
        """Return the delay in seconds before the next call, or None if the write is finished."""
        if isinstance(event, claim_events.Missing):
            self._was_missing = True
            return None
        if isinstance(event, claim_events.Written | claim_events.Malformed):
            return None
        if isinstance(event, claim_events.Read):
            return self._on_read(event)
        if isinstance(event, claim_events.Rejected):
            self._version = None
            return 0.0
        if isinstance(event, claim_events.StoreOutcomeUnknown):
            # Repeating the update would be safe because of the version, but only a read shows
            # whether the update succeeded or the claim was replaced.
            self._version = None
        return self._next_delay()

    def _on_read(self, event):
        if event.record.token != self._record.token:
            return None
        if event.record.state != claim_record.CLAIMED:
            return None
        self._version = event.version
        return 0.0

    def _next_delay(self):
        delay_s = self._delay_s
        self._delay_s = min(MAX_DELAY_S, delay_s * 2)
        return delay_s * self._random_state.uniform(0.5, 1.0)
