"""Claims requests with idempotency keys in the store and records their outcomes."""

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


class ClaimManager:
    """Runs ``claims.Claim`` against the store, in the thread of the request.

    The store calls of different requests run in parallel, so that a slow call delays only its own
    request. Only the registry and the write rate limiter are in the actor.

    Parameters
    ----------
    store : ObjectStore
        The platform's store.
    identity : NodeIdentity
        This node.
    lookup : OwnerLookup
        Asks other nodes for the outcomes of their claims.
    fleet_writes_per_s : float
        Writes per second that all nodes together may spend on claims.
    random_state : numpy.random.Generator
        Source of the jitter of background writes.
    nodes : int
        Minimum number of nodes that share the write rate. It applies while the node does not know
        the other members yet.
    """

    def __init__(self, store, identity, lookup, fleet_writes_per_s, random_state, nodes=1):
        self._store = store
        self._identity = identity
        self._lookup = lookup
        self._random_state = random_state
        self._members = (identity.node_id,)
        self._min_nodes = nodes
        self._actor_ref = claim_actor.ClaimActor.start(fleet_writes_per_s, time.monotonic())
        self._actor = self._actor_ref.proxy()
        self._actor.set_nodes(nodes, time.monotonic())
        self._writer = outcome_writer.OutcomeWriter(store, self._on_written)
        self._writer.start()

    @property
    def identity(self):
        """Identity of this node in its claims."""
        return self._identity

    @property
    def unwritten_outcomes(self):
        """Number of outcomes that have not been written to the store yet."""
        return self._writer.unwritten

    def set_members(self, node_ids):
        """Set the nodes that share the write rate and the garbage collection."""
        self._members = tuple(node_ids)
        nodes = max(self._min_nodes, len(self._members))
        self._actor.set_nodes(nodes, time.monotonic())

    def begin(self, workspace, key, fingerprint, deadline):
        """Claim a request, or find the result of an earlier submission with the same key.

        Parameters
        ----------
        workspace, key : str
            Workspace and idempotency key.
        fingerprint : str
            Fingerprint of the request from ``claim_record.compute_fingerprint``.
        deadline : float
            Deadline on the monotonic clock, in seconds.

        Returns
        -------
        ClaimTicket or RecordedResponse
            A ticket that permits sending, or the response of an earlier execution.

        Raises
        ------
        errors.request.RequestError
            If the request is refused; it must not be sent then.
        """
        name = claim_record.make_object_name(workspace, key)
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
        if admission.existing is not None:
            # This node knows that it owns the claim; reading the store would fail during an outage.
            event = claim_events.Read(None, admission.existing.record)
            return self._run_claim(name, claim, claim.handle(event, now), is_registered=False)
        return self._run_claim(name, claim, claim.begin(now), is_registered=True)

    def outcome(self, token, wait_s):
        """Return the outcome of an own claim as an event; wait up to ``wait_s`` seconds for it."""
        claim = self._actor.find(token).get(timeout=ACTOR_TIMEOUT_S)
        if claim is not None:
            claim.finished.wait(min(wait_s, MAX_OWNER_WAIT_S))
        return claim_actor.outcome_event(claim)

    def record_outcome(self, name, claim, record):
        """Make an outcome available to repeated requests and write it in the background."""
        self._actor.finish(record)
        request_metrics.UNWRITTEN_OUTCOMES.add(1)
        write = outcome_write.OutcomeWrite(record, claim.version, self._random_state)
        self._writer.submit(name, write)

    def delete_expired(self, now):
        """Delete the expired claims that are assigned to this node.

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
            # The next run finds the remaining claims again.
            eliot.log_message("claims:collection_interrupted", error=str(e))
        return deleted

    def wait_until_written(self, limit_s):
        """Wait up to ``limit_s`` seconds for the background writes; return how many remain."""
        return self._writer.wait_until_written(limit_s)

    def stop(self):
        """Stop the background writes; unfinished ones are lost."""
        self._writer.stop()
        self._actor_ref.stop()

    def _run_claim(self, name, claim, decision, is_registered):
        writes = claim_decisions.CreateClaim | claim_decisions.UpdateClaim
        try:
            while True:
                if isinstance(decision, claim_decisions.Proceed):
                    return claim_ticket.ClaimTicket(self, name, claim)
                if isinstance(decision, claim_decisions.Replay):
                    self._abandon_claim(name, claim, is_registered)
                    return decision.response
                if isinstance(decision, claim_decisions.Refuse):
                    self._abandon_claim(name, claim, is_registered)
                    raise decision.error
                if isinstance(decision, writes) and not is_registered:
                    self._actor.register(name, claim.record).get(timeout=ACTOR_TIMEOUT_S)
                    is_registered = True
                event = self._execute(name, decision)
                decision = claim.handle(event, time.monotonic())
        except request_errors.RequestError:
            raise
        except BaseException:
            # The caller has disconnected or the code has a bug: the claim must not stay pending.
            self._abandon_claim(name, claim, is_registered)
            raise

    def _execute(self, name, decision):
        if not isinstance(decision, claim_decisions.AskOwner):
            if isinstance(decision, claim_decisions.ReadClaim) and decision.delay_s:
                time.sleep(decision.delay_s)
            return claim_store_calls.execute(self._store, name, decision)
        if decision.owner == self._identity:
            return self.outcome(decision.token, decision.wait_s)
        return self._lookup.ask(decision.owner, decision.token, decision.wait_s)

    def _abandon_claim(self, name, claim, is_registered):
        if not is_registered:
            return
        record = claim.give_up()
        if claim.may_be_stored:
            self.record_outcome(name, claim, record)
            return
        self._actor.finish(record)
        self._actor.mark_written(record.token, time.monotonic(), claim_registry.WRITTEN_RETENTION_S)

    def _on_written(self, write):
        request_metrics.UNWRITTEN_OUTCOMES.add(-1)
        retention_s = claim_registry.WRITTEN_RETENTION_S
        if write.was_missing:
            retention_s = claim_registry.UNCONFIRMED_RETENTION_S
        self._actor.mark_written(write.record.token, time.monotonic(), retention_s)
