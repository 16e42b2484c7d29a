"""Claims keyed requests in the store and records their outcomes."""

import secrets
import time

import eliot

from lynxlanding.errors import platform as platform_errors
from lynxlanding.errors import request as request_errors
from lynxlanding.requests import (
    claim_actor,
    claim_decisions,
    claim_events,
    claim_expiry,
    claim_record,
    claim_registry,
    claim_store_calls,
    claim_ticket,
    claims,
    outcome_write,
    outcome_writer,
    request_metrics,
)

ACTOR_TIMEOUT_S = 5.0
MAX_OWNER_WAIT_S = 10.0


class ClaimKeeper:
    """Runs ``claims.Claim`` against the store, in the thread of the request.

    The store calls of different requests run side by side, so that a slow store holds up no other
    request; only the registry and the write limit are in the actor.

    Parameters
    ----------
    store : ObjectStore
        The platform's store.
    identity : NodeIdentity
        This node.
    lookup : OwnerLookup
        Asks other nodes for outcomes.
    fleet_writes_per_s : float
        Writes per second that all nodes together may spend on claims.
    random_state : numpy.random.Generator
        Source of the jitter of background writes.
    nodes : int
        Least number of nodes that share the write rate, for a node that knows no others yet.
    """

    def __init__(self, store, identity, lookup, fleet_writes_per_s, random_state, nodes=1):
        self._store = store
        self._identity = identity
        self._lookup = lookup
        self._random_state = random_state
        self._members = (identity.node_id,)
        self._least_nodes = nodes
        self._actor_ref = claim_actor.ClaimActor.start(fleet_writes_per_s, time.monotonic())
        self._actor = self._actor_ref.proxy()
        self._actor.set_nodes(nodes, time.monotonic())
        self._writer = outcome_writer.OutcomeWriter(store, self._on_written)
        self._writer.start()

    @property
    def identity(self):
        """The identity under which the node claims."""
        return self._identity

    @property
    def unwritten_outcomes(self):
        """Number of outcomes that are not in the store yet."""
        return self._writer.unfinished

    def set_members(self, node_ids):
        """Set the live nodes, which share the write rate and the garbage collection."""
        self._members = tuple(node_ids)
        nodes = max(self._least_nodes, len(self._members))
        self._actor.set_nodes(nodes, time.monotonic())

    def begin(self, workspace, key, fingerprint, deadline):
        """Claim a request.

        Parameters
        ----------
        workspace, key : str
            Workspace and idempotency key.
        fingerprint : str
            ``claim_record.fingerprint_of`` the request.
        deadline : float
            Deadline on the monotonic clock, in seconds.

        Returns
        -------
        ClaimTicket or RecordedResponse
            A ticket that permits sending, or the response of an earlier execution.

        Raises
        ------
        errors.request.RequestError
            If the request must not be sent.
        """
        name = claim_record.name_of(workspace, key)
        record = claim_record.ClaimRecord(
            fingerprint,
            self._identity,
            secrets.token_hex(16),
            claim_record.CLAIMED,
            time.time(),
        )
        claim = claims.Claim(record, deadline)
        now = time.monotonic()
        admission = self._actor.begin(name, record, now).get(timeout=ACTOR_TIMEOUT_S)
        if admission.retry_after_s is not None:
            raise request_errors.ClaimsUnavailable(
                "the node's share of the store's write rate is used up; the request was not sent",
                retry_after_s=admission.retry_after_s,
            )
        if admission.known is not None:
            # The store is not needed to know that this node holds the claim, and in an outage it
            # could not say so.
            event = claim_events.Read(None, admission.known.record)
            return self._run(name, claim, claim.handle(event, now), registered=False)
        return self._run(name, claim, claim.begin(now), registered=True)

    def outcome(self, token, wait_s):
        """Return the outcome of an own claim, after waiting up to ``wait_s`` seconds for it."""
        claim = self._actor.find(token).get(timeout=ACTOR_TIMEOUT_S)
        if claim is not None:
            claim.ended.wait(min(wait_s, MAX_OWNER_WAIT_S))
        return claim_actor.answer_of(claim)

    def record_outcome(self, name, claim, record):
        """Make an outcome known to repeats and write it in the background."""
        self._actor.end(record)
        request_metrics.UNWRITTEN_OUTCOMES.add(1)
        write = outcome_write.OutcomeWrite(record, claim.version, self._random_state)
        self._writer.submit(name, write)

    def collect(self, now):
        """Delete the expired claims of this node's slice.

        Parameters
        ----------
        now : float
            Wall-clock time, in seconds since the epoch.

        Returns
        -------
        int
            Number of deleted claims.
        """
        deleted = 0
        try:
            items, _ = self._store.list(claim_record.KIND)
            for item in claim_expiry.select_expired(
                items, self._members, self._identity.node_id, now
            ):
                try:
                    self._store.delete(claim_record.KIND, item.name, item.version)
                except (platform_errors.ObjectNotFound, platform_errors.VersionConflict):
                    continue
                deleted += 1
        except platform_errors.PlatformError as e:
            # The remaining claims are found again by the next run.
            eliot.log_message("claims:collection_interrupted", error=str(e))
        return deleted

    def wait_written(self, limit_s):
        """Wait up to ``limit_s`` seconds for background writes; return how many remain."""
        return self._writer.wait_written(limit_s)

    def stop(self):
        """Stop; writes that are not finished are lost."""
        self._writer.stop()
        self._actor_ref.stop()

    def _run(self, name, claim, decision, registered):
        writes = claim_decisions.CreateClaim | claim_decisions.UpdateClaim
        try:
            while True:
                if isinstance(decision, claim_decisions.Proceed):
                    return claim_ticket.ClaimTicket(self, name, claim)
                if isinstance(decision, claim_decisions.Replay):
                    self._leave(name, claim, registered)
                    return decision.response
                if isinstance(decision, claim_decisions.Refuse):
                    self._leave(name, claim, registered)
                    raise decision.error
                if isinstance(decision, writes) and not registered:
                    self._actor.register(name, claim.record).get(timeout=ACTOR_TIMEOUT_S)
                    registered = True
                event = self._perform(name, decision)
                decision = claim.handle(event, time.monotonic())
        except request_errors.RequestError:
            raise
        except BaseException:
            # A caller that disconnected, or a fault of the code: the claim must not stay pending.
            self._leave(name, claim, registered)
            raise

    def _perform(self, name, decision):
        if not isinstance(decision, claim_decisions.AskOwner):
            if isinstance(decision, claim_decisions.ReadClaim) and decision.delay_s:
                time.sleep(decision.delay_s)
            return claim_store_calls.execute(self._store, name, decision)
        if decision.owner == self._identity:
            return self.outcome(decision.token, decision.wait_s)
        return self._lookup.ask(decision.owner, decision.token, decision.wait_s)

    def _leave(self, name, claim, registered):
        if not registered:
            return
        record = claim.give_up()
        if claim.may_be_stored:
            self.record_outcome(name, claim, record)
            return
        self._actor.end(record)
        self._actor.mark_written(record.token, time.monotonic(), claim_registry.KEEP_WRITTEN_S)

    def _on_written(self, write):
        request_metrics.UNWRITTEN_OUTCOMES.add(-1)
        keep_s = claim_registry.KEEP_WRITTEN_S
        if write.was_missing:
            keep_s = claim_registry.KEEP_UNCONFIRMED_S
        self._actor.mark_written(write.record.token, time.monotonic(), keep_s)
