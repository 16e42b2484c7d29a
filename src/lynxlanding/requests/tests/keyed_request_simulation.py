"""Simulation of requests with idempotency keys: nodes, store and service, with injected faults."""

import dataclasses

import numpy as np

from lynxlanding.errors import endpoint as endpoint_errors
from lynxlanding.requests import (
    claim_decisions,
    claim_events,
    claim_expiry,
    claim_record,
    claim_store_calls,
    claims,
    execution,
    execution_decisions,
    node_identity,
    outcome_write,
    recorded_response,
)
from lynxlanding.requests.tests import fault_kinds, virtual_clock
from lynxlanding.retry import retry_policy
from lynxlanding.store import memory_store

NODES = 3
KEYS = 3
# Time after which a claim is deleted; 24 h in production.
RETENTION_S = 200.0
HORIZON_S = 800.0
# Far below the retention, like the longest deadline in production: 600 s, compared to 24 h.
LONG_TIMEOUT_S = 60.0


@dataclasses.dataclass
class SubmissionResult:
    """Response that a caller received to one submission."""

    key: str
    submission: str
    returned_at: float
    body: bytes | None
    error: object


class KeyedRequestSimulation:
    """Simulates several nodes in virtual time and records executions and responses.

    The seed determines the faults, their times and all delays.
    """

    def __init__(self, seed, claim_type=claims.Claim, execution_type=execution.Execution):
        self.random = np.random.default_rng(seed)
        self.faults = fault_kinds.faults_for_seed(seed)
        self.clock = virtual_clock.VirtualClock()
        self.store = memory_store.MemoryObjectStore()
        self.nodes = [virtual_clock.SimulatedNode(self.clock, f"n{i}") for i in range(NODES)]
        self.executions = []
        self.results = []
        self.submissions = 0
        self._claim_type = claim_type
        self._execution_type = execution_type
        self._policy = retry_policy.RetryPolicy()
        self._outage_windows = []
        self._partitions = []
        self._lost_responses = 0
        self._straggler_windows = []
        # With some seeds, nearly every send is refused at first, so that claims are released.
        self._refuses_at_first = self.random.random() < 0.3
        self._pending_long_pauses = self.faults.count(fault_kinds.EXPIRED_WINDOW)

    def run(self):
        for kind in self.faults:
            self._schedule_fault(kind)
        for number in range(KEYS):
            self.clock.schedule_at(self._random_time(0.5), self._submit, f"k{number}", 0, None)
        if self._pending_long_pauses:
            for at in np.arange(25.0, HORIZON_S, 25.0):
                self.clock.schedule_at(float(at), self._collect)
        self.clock.run(HORIZON_S)
        return self

    def _random_time(self, limit=1.0):
        return float(self.random.uniform(0.0, limit))

    def _schedule_fault(self, kind):
        at = self._random_time()
        node = self.nodes[self.random.integers(NODES)]
        if kind == fault_kinds.NODE_DEATH:
            self.clock.schedule_at(at, lambda: node.die(self.clock.now + self._random_time(2.0)))
        elif kind == fault_kinds.NODE_PAUSE:
            self.clock.schedule_at(at, self._pause_node, node, self._random_time(3.0))
        elif kind == fault_kinds.STRAGGLER:
            self._straggler_windows.append((at, at + 2.0))
        elif kind == fault_kinds.PARTITION:
            pair = {node.name, ("store", "n0", "n1", "n2")[self.random.integers(4)]}
            self._partitions.append((pair, at, at + self._random_time(4.0)))
        elif kind == fault_kinds.STORE_OUTAGE:
            self._outage_windows.append((at, at + self._random_time(3.0)))
        elif kind == fault_kinds.LOST_STORE_RESPONSE:
            self._lost_responses += 3

    def _pause_node(self, node, duration_s):
        node.paused_until = max(node.paused_until, self.clock.now + duration_s)

    def _is_within(self, windows):
        return any(start <= self.clock.now < end for start, end in windows)

    def _is_partitioned(self, one, other):
        for pair, start, end in self._partitions:
            if pair == {one, other} and start <= self.clock.now < end:
                return True
        return False

    # Callers

    def _submit(self, key, earlier_submissions, last_node):
        has_long_pause = fault_kinds.EXPIRED_WINDOW in self.faults
        timeout_s = LONG_TIMEOUT_S if has_long_pause else 1.0 + self._random_time(3.0)
        if earlier_submissions == 4 or self._may_be_expired(key, self.clock.now + timeout_s):
            return
        choices = [node for node in self.nodes if node is not last_node]
        node = choices[self.random.integers(len(choices))]
        self.submissions += 1
        submission = f"{key}-{self.submissions}"
        completed = []

        def respond(body, error):
            if not completed:
                completed.append(True)
                self.results.append(SubmissionResult(key, submission, self.clock.now, body, error))
            if error is not None:
                self.clock.schedule_after(
                    self._random_time(0.5), self._submit, key, earlier_submissions + 1, node
                )

        def give_up():
            if not completed:
                self._submit(key, earlier_submissions + 1, node)

        if node.is_up:
            deadline = self.clock.now + timeout_s
            node.spawn(self._serve(node, key, submission, deadline, respond))
        caller_timeout_s = timeout_s + 0.2
        if fault_kinds.REPEAT_ELSEWHERE in self.faults:
            caller_timeout_s = self._random_time(0.1)
        if has_long_pause:
            caller_timeout_s = RETENTION_S * self._random_time(1.4)
        self.clock.schedule_after(caller_timeout_s, give_up)

    def _may_be_expired(self, key, until):
        # After the retention, a key may be executed again, so repeated requests are pointless then.
        # A claim is older than its execution by at most the send window and one slow call.
        executions = self.executions_of(key)
        return bool(executions) and until > executions[0][2] + RETENTION_S - 40.0

    # Nodes

    def _serve(self, node, key, submission, deadline, respond):
        identity = node_identity.NodeIdentity(node.name, str(node.incarnation), "")
        name = claim_record.make_object_name("north", key)
        record = claim_record.ClaimRecord(
            key, identity, submission, claim_record.CLAIMED, self.clock.now
        )
        claim = self._claim_type(record, deadline)
        own_claim = {"record": record, "waiting": []}
        node.own_claims[submission] = own_claim
        decision = claim.begin(self.clock.now)
        while not isinstance(decision, claim_decisions.Proceed):
            if isinstance(decision, claim_decisions.Replay | claim_decisions.Refuse):
                self._record_outcome(
                    node, name, own_claim, claim, claim.give_up(), claim.may_be_stored
                )
                if isinstance(decision, claim_decisions.Replay):
                    respond(decision.response.body, None)
                else:
                    respond(None, decision.error)
                return
            if isinstance(decision, claim_decisions.AskOwner):
                event = yield self._ask_owner(node, decision)
            else:
                if isinstance(decision, claim_decisions.ReadClaim) and decision.delay_s:
                    yield self._sleep(decision.delay_s)
                event = yield self._call_store(node, name, decision)
            decision = claim.handle(event, self.clock.now)
        request_execution = self._execution_type(
            submission, ("service", "s"), deadline, idempotent=False, echo_required=False
        )
        decision = request_execution.begin(self.clock.now)
        while isinstance(decision, execution_decisions.SendAttempt):
            if self._pending_long_pauses:
                self._pending_long_pauses -= 1
                self._pause_node(node, RETENTION_S * 1.5 + self._random_time(50.0))
            yield self._sleep(self._random_time(0.01))
            if not claim.may_send(self.clock.now):
                decision = request_execution.on_send_denied(self.clock.now)
                break
            attempt_id = decision.attempt_id
            result = yield self._call_service(key, submission, deadline)
            if isinstance(result, bytes):
                request_execution.on_body(attempt_id)
                respond(result, None)
                response = recorded_response.make_recorded_response(200, [], result)
                self._record_outcome(node, name, own_claim, claim, claim.complete(response), True)
                return
            if result.certainly_not_run:
                claim.mark_not_run()
            decision = request_execution.on_failure(attempt_id, result, self.clock.now)
            if isinstance(decision, execution_decisions.AskRetry):
                retry_decision = self._policy.decide(decision.query, self.clock.now)
                decision = request_execution.on_retry_decision(retry_decision, self.clock.now)
        respond(None, decision.error)
        self._record_outcome(node, name, own_claim, claim, claim.give_up(), True)

    def _record_outcome(self, node, name, own_claim, claim, record, is_stored):
        own_claim["record"] = record
        for wake in own_claim["waiting"]:
            wake()
        if is_stored:
            write = outcome_write.OutcomeWrite(record, claim.version, self.random)
            node.spawn(self._write_outcome(node, name, write))

    def _write_outcome(self, node, name, write):
        delay_s = 0.0
        while delay_s is not None:
            yield self._sleep(delay_s)
            event = yield self._call_store(node, name, write.next_call())
            delay_s = write.handle(event)

    def _sleep(self, delay_s):
        return lambda resume: self.clock.schedule_after(delay_s, resume, None)

    def _call_store(self, node, name, decision):
        def call(resume):
            if self._is_within(self._outage_windows) or self._is_partitioned(node.name, "store"):
                self.clock.schedule_after(0.002, resume, claim_events.StoreFailed())
                return
            is_read = isinstance(decision, claim_decisions.ReadClaim)
            if not is_read and self._lost_responses and self.random.random() < 0.5:
                self._lost_responses -= 1
                # The write takes effect before or after the sender stops waiting, or never.
                if self.random.random() < 0.8:
                    delay_s = self._random_time(1.0)
                    self.clock.schedule_after(
                        delay_s, claim_store_calls.execute, self.store, name, decision
                    )
                self.clock.schedule_after(0.5, resume, claim_events.StoreOutcomeUnknown())
                return
            self.clock.schedule_after(
                self._random_time(0.01), self._apply_call, resume, name, decision
            )

        return call

    def _apply_call(self, resume, name, decision):
        event = claim_store_calls.execute(self.store, name, decision)
        self.clock.schedule_after(self._random_time(0.01), resume, event)

    def _ask_owner(self, node, decision):
        owner = next(item for item in self.nodes if item.name == decision.owner.node_id)

        def ask(resume):
            completed = []

            def reply(event):
                if not completed:
                    completed.append(True)
                    self.clock.schedule_after(0.002, resume, event)

            def arrive():
                if not owner.is_up or str(owner.incarnation) != decision.owner.incarnation:
                    reply(claim_events.OwnerAnswered(claim_events.DEAD))
                    return
                if self.clock.now < owner.paused_until:
                    self.clock.schedule_at(owner.paused_until, arrive)
                    return
                own_claim = owner.own_claims.get(decision.token)
                if own_claim is None:
                    reply(claim_events.OwnerAnswered(claim_events.FORGOTTEN))
                    return
                if own_claim["record"].state != claim_record.CLAIMED:
                    reply(_outcome_event(own_claim))
                    return
                own_claim["waiting"].append(lambda: reply(_outcome_event(own_claim)))
                self.clock.schedule_after(
                    decision.wait_s * 0.8,
                    lambda: reply(claim_events.OwnerAnswered(claim_events.PENDING)),
                )

            if self._is_partitioned(node.name, owner.name):
                self.clock.schedule_after(
                    min(2.0, decision.wait_s),
                    reply,
                    claim_events.OwnerAnswered(claim_events.UNREACHABLE),
                )
                return
            self.clock.schedule_after(
                decision.wait_s, reply, claim_events.OwnerAnswered(claim_events.UNREACHABLE)
            )
            self.clock.schedule_after(0.001, arrive)

        return ask

    # Service and garbage collection

    def _call_service(self, key, submission, deadline):
        def call(resume):
            draw = self.random.random()
            if self._refuses_at_first and self.clock.now < 1.0:
                draw *= 0.33
            if draw < 0.15:
                self.clock.schedule_after(
                    0.001, resume, endpoint_errors.ConnectionRefused("refused")
                )
                return
            if draw < 0.3:
                self.clock.schedule_after(0.002, resume, endpoint_errors.EndpointRefused(503, 0.1))
                return
            if draw < 0.35:
                self.clock.schedule_after(0.002, resume, endpoint_errors.ConnectionBroken("reset"))
                return
            duration_s = self._random_time(0.1)
            if self._is_within(self._straggler_windows):
                duration_s += self._random_time(5.0)
            self.clock.schedule_after(duration_s / 2, self._execute, key, submission)
            if draw < 0.45:
                self.clock.schedule_after(
                    duration_s, resume, endpoint_errors.ConnectionBroken("reset")
                )
                return
            time_left_s = deadline - self.clock.now
            if duration_s > time_left_s:
                self.clock.schedule_after(
                    time_left_s, resume, endpoint_errors.AttemptTimedOut("late")
                )
                return
            self.clock.schedule_after(duration_s, resume, f"{key} booked".encode())

        return call

    def _execute(self, key, submission):
        self.executions.append((key, submission, self.clock.now))

    def _collect(self):
        # Other requests continue, so there is always a new claim to compare ages with.
        identity = node_identity.NodeIdentity("n0", "0", "")
        record = claim_record.ClaimRecord("", identity, "", claim_record.DONE, self.clock.now)
        name = claim_record.make_object_name("north", f"other-{self.clock.now}")
        self.store.create(claim_record.KIND, name, record.encode())
        items, _ = self.store.list(claim_record.KIND)
        for item in claim_expiry.select_expired(items, ["n0"], "n0", self.clock.now, RETENTION_S):
            self.store.delete(claim_record.KIND, item.name, item.version)

    # History

    def executions_of(self, key):
        return [entry for entry in self.executions if entry[0] == key]


def _outcome_event(own_claim):
    return claim_events.OwnerAnswered(own_claim["record"].state, own_claim["record"].response)
