"""Decides whether a request with an idempotency key is sent, replayed or refused.

A request is executed at most once for these reasons: each submission generates a random token and
writes it with a create or a conditional update, so that at most one submission finds its own token
in the claim. Only the owner changes the state of a claim from ``claimed``, and only a claim that
its owner has released as ``not_run`` can be claimed again. A claim is never taken over because of
a timeout.
"""

import dataclasses

from lynxlanding.errors import request as request_errors
from lynxlanding.requests import claim_decisions, claim_events, claim_record

# A claim is deleted after 24 h, and a repeated request could then run. A node that was paused for
# that long must not send. 30 s is far shorter, and longer than any normal delay before a send.
SEND_WINDOW_S = 30.0
# After a lost response of the store, one read usually shows the result of the write. Further
# attempts cover a restart of the store's front end; after that, an immediate refusal is more useful
# to the caller.
MAX_STORE_ATTEMPTS = 4
STORE_RETRY_DELAY_S = 0.1
OWNER_WAIT_S = 5.0
REREAD_DELAY_S = 0.5
# Time to deliver a refusal before the caller stops waiting.
RESPONSE_MARGIN_S = 0.1
RETRY_AFTER_S = 1.0

_NEW = "new"
_WRITING = "writing"
_READING = "reading"
_ASKING = "asking"
_CLAIMED = "claimed"
_SENT = "sent"
_ENDED = "ended"


class Claim:
    """State machine for the claim of one submission.

    It does no I/O: ``begin`` and ``handle`` return decisions of ``claim_decisions``, and the
    results are passed to ``handle`` as events of ``claim_events``.

    Parameters
    ----------
    record : ClaimRecord
        Claim to write, in state ``claimed``, with the token of this submission.
    deadline : float
        Deadline of the request on the monotonic clock, in seconds.
    """

    def __init__(self, record, deadline):
        self._record = record
        self._deadline = deadline
        self._phase = _NEW
        self._window_started_at = None
        self._version = None
        self._may_exist = False
        self._other_record = None
        self._other_version = None
        self._is_final_read = False
        self._store_attempts = 0

    @property
    def record(self):
        """The claim with the token of this submission, whether or not it has been written."""
        return self._record

    @property
    def version(self):
        """Store version of the own claim, or None if it has not been confirmed."""
        return self._version

    @property
    def may_be_stored(self):
        """Whether the store may hold an unconfirmed claim of this submission."""
        return self._may_exist and self._version is None

    def begin(self, now):
        """Return the first decision."""
        if now >= self._deadline:
            return self._refuse_past_deadline()
        return self._create(now)

    def handle(self, event, now):
        """Return the decision that follows an event at the monotonic time ``now``."""
        if isinstance(event, claim_events.Written):
            self._version = event.version
            return self._proceed()
        if isinstance(event, claim_events.Read):
            return self._on_read(event, now)
        if isinstance(event, claim_events.Rejected):
            return self._read(now)
        if isinstance(event, claim_events.Missing):
            return self._on_missing(now)
        if isinstance(event, claim_events.StoreOutcomeUnknown):
            self._may_exist = True
            return self._read(now)
        if isinstance(event, claim_events.StoreFailed):
            return self._on_store_failed(now)
        if isinstance(event, claim_events.OwnerAnswered):
            return self._on_owner_answered(event, now)
        return self._refuse_unknown("the claim of this key cannot be read")

    def may_send(self, now):
        """Return whether the request may be sent now; call it immediately before sending.

        True permits one send.
        """
        if self._phase != _CLAIMED or not self._is_in_send_window(now):
            return False
        self._phase = _SENT
        return True

    def mark_not_run(self):
        """Record that the permitted send was certainly not executed, which permits another one."""
        if self._phase == _SENT:
            self._phase = _CLAIMED

    def complete(self, response):
        """End the claim with a complete response and return the record to write."""
        self._phase = _ENDED
        self._record = dataclasses.replace(self._record, state=claim_record.DONE, response=response)
        return self._record

    def give_up(self):
        """End the claim without a complete response and return the record to write."""
        state = claim_record.UNKNOWN if self._phase == _SENT else claim_record.NOT_RUN
        self._phase = _ENDED
        self._record = dataclasses.replace(self._record, state=state)
        return self._record

    def _is_in_send_window(self, now):
        return now < self._deadline and now < self._window_started_at + SEND_WINDOW_S

    def _create(self, now):
        self._phase = _WRITING
        self._other_record = None
        self._is_final_read = False
        # The window starts before the write, because the write may take effect immediately while
        # its response is delayed.
        self._window_started_at = now
        return claim_decisions.CreateClaim(self._record)

    def _reclaim(self, version, now):
        if version is None:
            return self._create(now)
        self._phase = _WRITING
        self._window_started_at = now
        self._other_record = None
        self._is_final_read = False
        return claim_decisions.UpdateClaim(self._record, version)

    def _proceed(self):
        self._phase = _CLAIMED
        return claim_decisions.Proceed()

    def _read(self, now, delay_s=0.0):
        if now + delay_s >= self._deadline - RESPONSE_MARGIN_S:
            return self._refuse_past_deadline()
        self._phase = _READING
        return claim_decisions.ReadClaim(delay_s)

    def _on_read(self, event, now):
        record = event.record
        if record.token == self._record.token:
            self._version = event.version
            if record.state != claim_record.CLAIMED:
                return self._refuse_unknown("the claim of this submission has ended")
            return self._proceed()
        self._other_record = record
        self._other_version = event.version
        if record.fingerprint != self._record.fingerprint:
            return self._refuse(
                request_errors.IdempotencyKeyReused(
                    "the idempotency key belongs to a different request"
                )
            )
        if record.state == claim_record.DONE:
            return self._replay(record.response)
        if record.state == claim_record.UNKNOWN:
            return self._refuse_unknown("an earlier request with this key may have run")
        if record.state == claim_record.NOT_RUN:
            if now >= self._deadline - RESPONSE_MARGIN_S:
                return self._refuse_past_deadline()
            return self._reclaim(event.version, now)
        return self._on_other_claim(now)

    def _on_other_claim(self, now):
        if self._is_final_read:
            return self._refuse_unknown("the node that claimed this request is gone")
        return self._ask_owner(now)

    def _ask_owner(self, now):
        wait_s = min(OWNER_WAIT_S, self._deadline - RESPONSE_MARGIN_S - now)
        if wait_s <= 0:
            return self._refuse_past_deadline()
        self._phase = _ASKING
        return claim_decisions.AskOwner(self._other_record.owner, self._other_record.token, wait_s)

    def _on_owner_answered(self, event, now):
        if event.outcome == claim_record.DONE:
            return self._replay(event.response)
        if event.outcome == claim_record.UNKNOWN:
            return self._refuse_unknown("the request with this key may have run")
        if event.outcome == claim_record.NOT_RUN:
            # The owner will never send with its token. Its claim can therefore be replaced before
            # it has written ``not_run``; its update then fails because of the version.
            if now >= self._deadline - RESPONSE_MARGIN_S:
                return self._refuse_past_deadline()
            return self._reclaim(self._other_version, now)
        if event.outcome == claim_events.PENDING:
            return self._ask_owner(now)
        if event.outcome == claim_events.UNREACHABLE:
            # If the network is partitioned, the outcome can only be learned from the store.
            return self._read(now, REREAD_DELAY_S)
        # The owner may have written the outcome just before it ended or discarded the claim.
        self._is_final_read = True
        return self._read(now)

    def _on_missing(self, now):
        if self._other_record is not None:
            return self._refuse_unknown("the claim of this key was deleted")
        self._store_attempts += 1
        if self._store_attempts >= MAX_STORE_ATTEMPTS or now >= self._deadline - RESPONSE_MARGIN_S:
            return self._refuse_unavailable()
        return self._create(now)

    def _on_store_failed(self, now):
        self._store_attempts += 1
        if self._other_record is not None:
            if self._is_final_read:
                return self._refuse_unknown("the outcome of the request cannot be read")
            return self._ask_owner(now)
        if self._phase == _WRITING and not self._may_exist:
            return self._refuse_unavailable()
        if self._store_attempts >= MAX_STORE_ATTEMPTS:
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

    def _refuse_past_deadline(self):
        if self._other_record is not None:
            return self._refuse_unknown("the request with this key was still running")
        # This submission has not been sent, but an earlier one with the same key may have run.
        return self._refuse(
            request_errors.DeadlineExceeded("the deadline passed before the request was claimed")
        )

    def _refuse_unknown(self, message):
        return self._refuse(request_errors.OutcomeUnknown(message, retry_after_s=RETRY_AFTER_S))

    def _refuse(self, error):
        self._phase = _ENDED
        return claim_decisions.Refuse(error)
