"""Nodes, store and service of one schedule of keyed requests."""

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
# Stands for the 24 h after which a claim is deleted.
RETENTION_S = 200.0
HORIZON_S = 800.0
# The longest deadline is far below the retention, as 600 s are below 24 h.
LONG_TIMEOUT_S = 60.0


@dataclasses.dataclass
class Answer:
    """What a caller saw of one submission."""

    key: str
    submission: str
    at: float
    body: bytes | None
    error: object


class KeyedWorld:
    """Runs one schedule and keeps the history of executions and answers."""

    def __init__(self, seed, claim_type=claims.Claim, execution_type=execution.Execution):
        self.random = np.random.default_rng(seed)
        self.faults = fault_kinds.of_seed(seed)
        self.clock = virtual_clock.VirtualTime()
        self.store = memory_store.MemoryObjectStore()
        self.nodes = [virtual_clock.FakeNode(self.clock, f"n{i}") for i in range(NODES)]
        self.executions = []
        self.answers = []
        self.submissions = 0
        self._claim_type = claim_type
        self._execution_type = execution_type
        self._policy = retry_policy.RetryPolicy()
        self._outages = []
        self._partitions = []
        self._lost_responses = 0
        self._slow = []
        # In some schedules, nearly every send is refused at first, so that claims are released.
        self._is_busy = self.random.random() < 0.3
        self._long_pauses = self.faults.count(fault_kinds.EXPIRED_WINDOW)

    def run(self):
        for kind in self.faults:
            self._plan(kind)
        for number in range(KEYS):
            self.clock.at(self._time(0.5), self._submit, f"k{number}", 0, None)
        if self._long_pauses:
            for at in np.arange(25.0, HORIZON_S, 25.0):
                self.clock.at(float(at), self._collect)
        self.clock.run(HORIZON_S)
        return self

    def _time(self, limit=1.0):
        return float(self.random.uniform(0.0, limit))

    def _plan(self, kind):
        at = self._time()
        node = self.nodes[self.random.integers(NODES)]
        if kind == fault_kinds.NODE_DEATH:
            self.clock.at(at, lambda: node.die(self.clock.now + self._time(2.0)))
        elif kind == fault_kinds.NODE_PAUSE:
            self.clock.at(at, self._pause, node, self._time(3.0))
        elif kind == fault_kinds.STRAGGLER:
            self._slow.append((at, at + 2.0))
        elif kind == fault_kinds.PARTITION:
            pair = {node.name, ("store", "n0", "n1", "n2")[self.random.integers(4)]}
            self._partitions.append((pair, at, at + self._time(4.0)))
        elif kind == fault_kinds.STORE_OUTAGE:
            self._outages.append((at, at + self._time(3.0)))
        elif kind == fault_kinds.LOST_ANSWER:
            self._lost_responses += 3

    def _pause(self, node, duration_s):
        node.paused_until = max(node.paused_until, self.clock.now + duration_s)

    def _within(self, windows):
        return any(start <= self.clock.now < end for start, end in windows)

    def _is_cut(self, one, other):
        for pair, start, end in self._partitions:
            if pair == {one, other} and start <= self.clock.now < end:
                return True
        return False

    # Callers

    def _submit(self, key, tries, last_node):
        window = fault_kinds.EXPIRED_WINDOW in self.faults
        timeout_s = LONG_TIMEOUT_S if window else 1.0 + self._time(3.0)
        if tries == 4 or self._is_free_again(key, self.clock.now + timeout_s):
            return
        choices = [node for node in self.nodes if node is not last_node]
        node = choices[self.random.integers(len(choices))]
        self.submissions += 1
        submission = f"{key}-{self.submissions}"
        answered = []

        def answer(body, error):
            if not answered:
                answered.append(True)
                self.answers.append(Answer(key, submission, self.clock.now, body, error))
            if error is not None:
                self.clock.after(self._time(0.5), self._submit, key, tries + 1, node)

        def give_up():
            if not answered:
                self._submit(key, tries + 1, node)

        if node.is_up:
            deadline = self.clock.now + timeout_s
            node.spawn(self._serve(node, key, submission, deadline, answer))
        patience_s = timeout_s + 0.2
        if fault_kinds.REPEAT_ELSEWHERE in self.faults:
            patience_s = self._time(0.1)
        if window:
            patience_s = RETENTION_S * self._time(1.4)
        self.clock.after(patience_s, give_up)

    def _is_free_again(self, key, until):
        # After the retention a key may run again, so a repeat of one that ran proves nothing. The
        # claim is at most the send window and one slow call older than the execution.
        runs = self.runs(key)
        return bool(runs) and until > runs[0][2] + RETENTION_S - 40.0

    # Nodes

    def _serve(self, node, key, submission, deadline, answer):
        identity = node_identity.NodeIdentity(node.name, str(node.incarnation), "")
        name = claim_record.name_of("north", key)
        record = claim_record.ClaimRecord(
            key, identity, submission, claim_record.CLAIMED, self.clock.now
        )
        claim = self._claim_type(record, deadline)
        own = {"record": record, "waiting": []}
        node.own_claims[submission] = own
        decision = claim.begin(self.clock.now)
        while not isinstance(decision, claim_decisions.Proceed):
            if isinstance(decision, claim_decisions.Replay | claim_decisions.Refuse):
                self._end(node, name, own, claim, claim.give_up(), claim.may_be_stored)
                if isinstance(decision, claim_decisions.Replay):
                    answer(decision.response.body, None)
                else:
                    answer(None, decision.error)
                return
            if isinstance(decision, claim_decisions.AskOwner):
                event = yield self._ask(node, decision)
            else:
                if isinstance(decision, claim_decisions.ReadClaim) and decision.delay_s:
                    yield self._sleep(decision.delay_s)
                event = yield self._call_store(node, name, decision)
            decision = claim.handle(event, self.clock.now)
        running = self._execution_type(
            submission, ("service", "s"), deadline, idempotent=False, echo_required=False
        )
        decision = running.begin(self.clock.now)
        while isinstance(decision, execution_decisions.SendAttempt):
            if self._long_pauses:
                self._long_pauses -= 1
                self._pause(node, RETENTION_S * 1.5 + self._time(50.0))
            yield self._sleep(self._time(0.01))
            if not claim.may_send(self.clock.now):
                decision = running.on_send_denied(self.clock.now)
                break
            attempt_id = decision.attempt_id
            result = yield self._call_service(key, submission, deadline)
            if isinstance(result, bytes):
                running.on_body(attempt_id)
                answer(result, None)
                response = recorded_response.record(200, [], result)
                self._end(node, name, own, claim, claim.complete(response), True)
                return
            if result.certainly_not_run:
                claim.mark_not_run()
            decision = running.on_failure(attempt_id, result, self.clock.now)
            if isinstance(decision, execution_decisions.AskRetry):
                granted = self._policy.decide(decision.question, self.clock.now)
                decision = running.on_retry_answer(granted, self.clock.now)
        answer(None, decision.error)
        self._end(node, name, own, claim, claim.give_up(), True)

    def _end(self, node, name, own, claim, record, is_stored):
        own["record"] = record
        for wake in own["waiting"]:
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
        return lambda resume: self.clock.after(delay_s, resume, None)

    def _call_store(self, node, name, decision):
        def call(resume):
            if self._within(self._outages) or self._is_cut(node.name, "store"):
                self.clock.after(0.002, resume, claim_events.StoreFailed())
                return
            is_read = isinstance(decision, claim_decisions.ReadClaim)
            if not is_read and self._lost_responses and self.random.random() < 0.5:
                self._lost_responses -= 1
                # The change takes effect before or after its sender stops waiting, or never.
                if self.random.random() < 0.8:
                    delay_s = self._time(1.0)
                    self.clock.after(delay_s, claim_store_calls.execute, self.store, name, decision)
                self.clock.after(0.5, resume, claim_events.StoreOutcomeUnknown())
                return
            self.clock.after(self._time(0.01), self._effect, resume, name, decision)

        return call

    def _effect(self, resume, name, decision):
        event = claim_store_calls.execute(self.store, name, decision)
        self.clock.after(self._time(0.01), resume, event)

    def _ask(self, node, decision):
        owner = next(item for item in self.nodes if item.name == decision.owner.node_id)

        def ask(resume):
            answered = []

            def reply(event):
                if not answered:
                    answered.append(True)
                    self.clock.after(0.002, resume, event)

            def arrive():
                if not owner.is_up or str(owner.incarnation) != decision.owner.incarnation:
                    reply(claim_events.OwnerAnswered(claim_events.DEAD))
                    return
                if self.clock.now < owner.paused_until:
                    self.clock.at(owner.paused_until, arrive)
                    return
                own = owner.own_claims.get(decision.token)
                if own is None:
                    reply(claim_events.OwnerAnswered(claim_events.FORGOTTEN))
                    return
                if own["record"].state != claim_record.CLAIMED:
                    reply(_owner_answer(own))
                    return
                own["waiting"].append(lambda: reply(_owner_answer(own)))
                self.clock.after(
                    decision.wait_s * 0.8,
                    lambda: reply(claim_events.OwnerAnswered(claim_events.PENDING)),
                )

            if self._is_cut(node.name, owner.name):
                self.clock.after(
                    min(2.0, decision.wait_s),
                    reply,
                    claim_events.OwnerAnswered(claim_events.UNREACHABLE),
                )
                return
            self.clock.after(
                decision.wait_s, reply, claim_events.OwnerAnswered(claim_events.UNREACHABLE)
            )
            self.clock.after(0.001, arrive)

        return ask

    # Service and garbage collection

    def _call_service(self, key, submission, deadline):
        def call(resume):
            kind = self.random.random()
            if self._is_busy and self.clock.now < 1.0:
                kind *= 0.33
            if kind < 0.15:
                self.clock.after(0.001, resume, endpoint_errors.ConnectionRefused("refused"))
                return
            if kind < 0.3:
                self.clock.after(0.002, resume, endpoint_errors.EndpointRefused(503, 0.1))
                return
            if kind < 0.35:
                self.clock.after(0.002, resume, endpoint_errors.ConnectionBroken("reset"))
                return
            duration_s = self._time(0.1)
            if self._within(self._slow):
                duration_s += self._time(5.0)
            self.clock.after(duration_s / 2, self._execute, key, submission)
            if kind < 0.45:
                self.clock.after(duration_s, resume, endpoint_errors.ConnectionBroken("reset"))
                return
            left_s = deadline - self.clock.now
            if duration_s > left_s:
                self.clock.after(left_s, resume, endpoint_errors.AttemptTimedOut("late"))
                return
            self.clock.after(duration_s, resume, f"{key} booked".encode())

        return call

    def _execute(self, key, submission):
        self.executions.append((key, submission, self.clock.now))

    def _collect(self):
        # Other requests go on, so that there is always a new claim to compare with.
        identity = node_identity.NodeIdentity("n0", "0", "")
        record = claim_record.ClaimRecord("", identity, "", claim_record.DONE, self.clock.now)
        name = claim_record.name_of("north", f"other-{self.clock.now}")
        self.store.create(claim_record.KIND, name, record.encode())
        items, _ = self.store.list(claim_record.KIND)
        for item in claim_expiry.select_expired(items, ["n0"], "n0", self.clock.now, RETENTION_S):
            self.store.delete(claim_record.KIND, item.name, item.version)

    # History

    def runs(self, key):
        return [entry for entry in self.executions if entry[0] == key]


def _owner_answer(own):
    return claim_events.OwnerAnswered(own["record"].state, own["record"].response)
