"""Decides whether a keyed request may be sent, replayed or must be refused.

The safety argument: a token is drawn for each submission and written with a create or a
conditional update, so at most one submission finds its own token in the claim. A claim leaves
the state ``claimed`` only by its owner, and only a claim that its owner has released as
``not_run`` is claimed again. Time is never a reason to take over a claim.
"""

import dataclasses

from lynxlanding.errors import request as request_errors
from lynxlanding.requests import claim_decisions, claim_events, claim_record

# A claim is deleted after 24 h, and a repeat could then run. A node that was paused for that long
# must not send; 30 s leaves a wide margin and is longer than any normal delay before a send.
SEND_WINDOW_S = 30.0
# One read confirms a lost answer in the normal case. Further tries cover a restart of the store's
# front end; beyond them the caller is better served by an immediate refusal.
MAX_STORE_TRIES = 4
STORE_RETRY_DELAY_S = 0.1
OWNER_WAIT_S = 5.0
REREAD_DELAY_S = 0.5
# Time to get the refusal to the caller before it stops waiting.
REPLY_MARGIN_S = 0.1
RETRY_AFTER_S = 1.0

_NEW = "new"
_WRITING = "writing"
_READING = "reading"
_ASKING = "asking"
_CLAIMED = "claimed"
_SENT = "sent"
_ENDED = "ended"


class Claim:
    """State of the claim of one submission; ``handle`` maps events to decisions.

    Parameters
    ----------
    record : ClaimRecord
        The claim to write, in state ``claimed`` with the token of this submission.
    deadline : float
        Deadline of the request on the monotonic clock, in seconds.
    """

    def __init__(self, record, deadline):
        self._record = record
        self._deadline = deadline
        self._phase = _NEW
        self._claimed_from = None
        self._version = None
        self._may_exist = False
        self._foreign = None
        self._foreign_version = None
        self._last_read = False
        self._tries = 0

    @property
    def record(self):
        """The claim as this submission wrote or would write it."""
        return self._record

    @property
    def version(self):
        """Store version of the own claim; None until it is claimed."""
        return self._version

    @property
    def may_be_stored(self):
        """Whether the store may hold a claim of this submission that was never confirmed."""
        return self._may_exist and self._version is None

    def begin(self, now):
        """Start the claim."""
        if now >= self._deadline:
            return self._refuse_late()
        return self._create(now)

    def handle(self, event, now):
        """Return the next decision for an event at monotonic time ``now``."""
        if isinstance(event, claim_events.Written):
            self._version = event.version
            return self._claimed()
        if isinstance(event, claim_events.Read):
            return self._on_read(event, now)
        if isinstance(event, claim_events.Rejected):
            return self._read(now)
        if isinstance(event, claim_events.Missing):
            return self._on_missing(now)
        if isinstance(event, claim_events.AnswerLost):
            self._may_exist = True
            return self._read(now)
        if isinstance(event, claim_events.StoreFailed):
            return self._on_store_failed(now)
        if isinstance(event, claim_events.OwnerAnswered):
            return self._on_owner_answered(event, now)
        return self._refuse_unknown("the claim of this key cannot be read")

    def may_send(self, now):
        """Permit one send; call immediately before the first byte is sent."""
        if self._phase != _CLAIMED or not self._in_window(now):
            return False
        self._phase = _SENT
        return True

    def mark_not_run(self):
        """Record that the permitted send certainly did not run, so that one more is allowed."""
        if self._phase == _SENT:
            self._phase = _CLAIMED

    def complete(self, response):
        """Return the record to write for a complete response."""
        self._phase = _ENDED
        self._record = dataclasses.replace(self._record, state=claim_record.DONE, response=response)
        return self._record

    def give_up(self):
        """Return the record to write when no complete response was received."""
        state = claim_record.UNKNOWN if self._phase == _SENT else claim_record.NOT_RUN
        self._phase = _ENDED
        self._record = dataclasses.replace(self._record, state=state)
        return self._record

    def _in_window(self, now):
        return now < self._deadline and now < self._claimed_from + SEND_WINDOW_S

    def _create(self, now):
        self._phase = _WRITING
        self._foreign = None
        self._last_read = False
        # The window counts from before the write, because the write may take effect at once
        # while its answer is delayed.
        self._claimed_from = now
        return claim_decisions.CreateClaim(self._record)

    def _reclaim(self, version, now):
        if version is None:
            return self._create(now)
        self._phase = _WRITING
        self._claimed_from = now
        self._foreign = None
        self._last_read = False
        return claim_decisions.UpdateClaim(self._record, version)

    def _claimed(self):
        self._phase = _CLAIMED
        return claim_decisions.Proceed()

    def _read(self, now, delay_s=0.0):
        if now + delay_s >= self._deadline - REPLY_MARGIN_S:
            return self._refuse_late()
        self._phase = _READING
        return claim_decisions.ReadClaim(delay_s)

    def _on_read(self, event, now):
        record = event.record
        if record.token == self._record.token:
            self._version = event.version
            if record.state != claim_record.CLAIMED:
                return self._refuse_unknown("the claim of this submission has ended")
            return self._claimed()
        self._foreign = record
        self._foreign_version = event.version
        if record.fingerprint != self._record.fingerprint:
            return self._refuse(
                request_errors.KeyReused("the idempotency key belongs to a different request")
            )
        if record.state == claim_record.DONE:
            return self._replay(record.response)
        if record.state == claim_record.UNKNOWN:
            return self._refuse_unknown("an earlier request with this key may have run")
        if record.state == claim_record.NOT_RUN:
            if now >= self._deadline - REPLY_MARGIN_S:
                return self._refuse_late()
            return self._reclaim(event.version, now)
        return self._on_claimed_by_other(now)

    def _on_claimed_by_other(self, now):
        if self._last_read:
            return self._refuse_unknown("the node that claimed this request is gone")
        return self._ask_owner(now)

    def _ask_owner(self, now):
        wait_s = min(OWNER_WAIT_S, self._deadline - REPLY_MARGIN_S - now)
        if wait_s <= 0:
            return self._refuse_late()
        self._phase = _ASKING
        return claim_decisions.AskOwner(self._foreign.owner, self._foreign.token, wait_s)

    def _on_owner_answered(self, event, now):
        if event.outcome == claim_record.DONE:
            return self._replay(event.response)
        if event.outcome == claim_record.UNKNOWN:
            return self._refuse_unknown("the request with this key may have run")
        if event.outcome == claim_record.NOT_RUN:
            # The owner will never send under its token, so its claim may be replaced even before
            # its own update to ``not_run``; that update then fails on the version.
            if now >= self._deadline - REPLY_MARGIN_S:
                return self._refuse_late()
            return self._reclaim(self._foreign_version, now)
        if event.outcome == claim_events.PENDING:
            return self._ask_owner(now)
        if event.outcome == claim_events.UNREACHABLE:
            # Across a partition the store is the only place where the outcome can appear.
            return self._read(now, REREAD_DELAY_S)
        # The owner may have written the outcome just before it died or forgot it.
        self._last_read = True
        return self._read(now)

    def _on_missing(self, now):
        if self._foreign is not None:
            return self._refuse_unknown("the claim of this key was deleted")
        self._tries += 1
        if self._tries >= MAX_STORE_TRIES or now >= self._deadline - REPLY_MARGIN_S:
            return self._refuse_unavailable()
        return self._create(now)

    def _on_store_failed(self, now):
        self._tries += 1
        if self._foreign is not None:
            if self._last_read:
                return self._refuse_unknown("the outcome of the request cannot be read")
            return self._ask_owner(now)
        if self._phase == _WRITING and not self._may_exist:
            return self._refuse_unavailable()
        if self._tries >= MAX_STORE_TRIES:
            return self._refuse_unavailable()
        return self._read(now, STORE_RETRY_DELAY_S)

    def _replay(self, response):
        if response is None or response.body is None:
            return self._refuse(
                request_errors.ResponseNotKept("the request ran; its response was not kept")
            )
        self._phase = _ENDED
        return claim_decisions.Replay(response)

    def _refuse_unavailable(self):
        return self._refuse(
            request_errors.ClaimsUnavailable(
                "the request could not be claimed and was not sent; repeat it with the same key",
                retry_after_s=RETRY_AFTER_S,
            )
        )

    def _refuse_late(self):
        if self._foreign is not None:
            return self._refuse_unknown("the request with this key was still running")
        # Not sent by this submission; but the key may belong to an earlier one that ran.
        return self._refuse(
            request_errors.DeadlineExceeded("the deadline passed before the request was claimed")
        )

    def _refuse_unknown(self, message):
        return self._refuse(request_errors.OutcomeUnknown(message, retry_after_s=RETRY_AFTER_S))

    def _refuse(self, error):
        self._phase = _ENDED
        return claim_decisions.Refuse(error)
