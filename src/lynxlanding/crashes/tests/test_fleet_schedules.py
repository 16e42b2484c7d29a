"""Bad and sound requests at many nodes that tell each other, in seeded schedules.

Pattern: requests with one part in their prompts end one engine after the other, at any node.
"""

import heapq
import itertools
import random

import pytest

from lynxlanding.crashes import part_guard, statements
from lynxlanding.peers import gathering, report_exchange, report_schedule

SHARED, BAD = 0xA1, 0xBAD
# Delay and loss of datagrams.
MAX_DELAY_S = 0.02
LOSS = 0.02
# Time from the sending of a request to the end of its engine.
RUN_S = (0.1, 0.4)
ANSWER_S = 1.5
STABLE_S = 3.0
ALLOWED_AFTER = 3


class Fleet:
    """Nodes with a guard each; engines end under requests with the bad part."""

    def __init__(self, seed, node_count, bad_parts=(BAD,)):
        self.bad_parts = bad_parts
        self.sent_by_part = {bad: [] for bad in bad_parts}
        self.ends_by_part = {bad: [] for bad in bad_parts}
        self.random_state = random.Random(seed)
        self.node_ids = [f"n{number}" for number in range(node_count)]
        self.guards = {node_id: part_guard.PartGuard(node_id) for node_id in self.node_ids}
        for guard in self.guards.values():
            guard.use_live_nodes(self.node_ids)
        self.urgent = {}
        self.now = 0.0
        self.ends = []
        self.sent_bad = []
        self.sound = [0, 0]
        self._queue = []
        self._order = itertools.count()

    def schedule(self, at, action, *arguments):
        heapq.heappush(self._queue, (at, next(self._order), action, arguments))

    def run(self, until):
        while self._queue and self._queue[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self._queue)
            action(*arguments)

    def start_reports(self):
        for node_id in self.node_ids:
            self.schedule(
                self.random_state.uniform(0, report_schedule.REPORT_INTERVAL_S),
                self.report,
                node_id,
            )

    def report(self, node_id):
        report = self.guards[node_id].statements_to_report(self.now)
        others = [other for other in self.node_ids if other != node_id]
        guard = self.guards[node_id]
        changes, remaining = self.urgent.get(node_id, (0, 0))
        if guard.urgent_changes != changes:
            remaining = report_schedule.URGENT_REPORTS
        self.urgent[node_id] = (guard.urgent_changes, remaining - (remaining > 0))
        if remaining or len(others) <= gathering.MAX_DIRECT_PEERS:
            self.send(node_id, others, report)
        elif report != statements.PromptStatements() and self.random_state.random() >= LOSS:
            # The gatherer passes it on with its next digest.
            wait_s = self.random_state.uniform(0, report_exchange.DIGEST_INTERVAL_S)
            self.schedule(self.now + wait_s, self.send, node_id, others, report)
        guard.expire(lambda key: 0.0, self.now)
        self.schedule(self.now + report_schedule.REPORT_INTERVAL_S, self.report, node_id)

    def send(self, sender, recipients, report):
        for recipient in recipients:
            if self.random_state.random() < LOSS:
                continue
            delay_s = self.random_state.uniform(0, MAX_DELAY_S)
            self.schedule(self.now + delay_s, self.receive, recipient, sender, report)

    def receive(self, node_id, sender, report):
        self.guards[node_id].apply_peer(report, sender, self.now)

    def send_bad(self):
        node_id = self.random_state.choice(self.node_ids)
        self.try_bad(node_id, attempts=0)

    def try_bad(self, node_id, attempts):
        bad = self.random_state.choice(self.bad_parts)
        parts = (SHARED, self.random_state.randrange(1000, 1004), bad)
        verdict = self.guards[node_id].check(parts, self.now)
        if verdict is not None and not verdict.is_trial:
            return
        self.sent_bad.append(self.now)
        self.sent_by_part[bad].append(self.now)
        run_s = self.random_state.uniform(*RUN_S)
        self.schedule(self.now + run_s, self.end, node_id, parts, self.now, attempts + 1)

    def end(self, node_id, parts, sent_at, attempts):
        number = len(self.ends)
        self.ends.append(self.now)
        self.ends_by_part[parts[-1]].append(self.now)
        end = statements.EndStatement(number, 1, self.now, dict.fromkeys(parts, sent_at))
        self.guards[node_id].record_end(end, self.now)
        # Sound requests of other nodes share the end of the engine.
        for other in self.random_state.sample(self.node_ids, 2):
            sent_at = self.now - self.random_state.uniform(0.0, 1.0)
            shared = {SHARED: sent_at, self.random_state.randrange(1000, 1004): sent_at}
            self.guards[other].record_end(
                statements.EndStatement(number, 1, self.now, shared), self.now
            )
        if attempts < 2 and self.guards[node_id].may_repeat(parts):
            self.try_bad(node_id, attempts)

    def send_sound(self):
        node_id = self.random_state.choice(self.node_ids)
        parts = (SHARED, self.random_state.randrange(1000, 1004))
        is_refused = self.guards[node_id].check(parts, self.now) is not None
        self.sound[is_refused] += 1
        if not is_refused:
            self.schedule(self.now + ANSWER_S, self.answer, node_id, parts, self.now)

    def answer(self, node_id, parts, sent_at):
        self.guards[node_id].record_harmless(parts, sent_at, self.now)

    def start(self, action, per_s, since, until):
        at = since
        while at < until:
            at += self.random_state.expovariate(per_s)
            self.schedule(at, action)


@pytest.mark.parametrize(
    ("node_count", "seeds", "bad_per_s", "until"),
    [(9, 10, 3.0, 50.0), (9, 5, 0.3, 60.0), (22, 5, 6.0, 30.0), (22, 3, 20.0, 30.0)],
)
def test_few_requests_with_a_bad_part_reach_engines(node_count, seeds, bad_per_s, until):
    """Guards against nodes that together send more than three after the fifth end."""
    for seed in range(seeds):
        fleet = Fleet(seed, node_count)
        fleet.start_reports()
        fleet.start(fleet.send_sound, 20.0, 0.0, until)
        fleet.start(fleet.send_bad, bad_per_s, 3.0, until)
        fleet.run(until)
        late = []
        if len(fleet.ends) >= 5:
            late = [at for at in fleet.sent_bad if at > fleet.ends[4] + STABLE_S]
        assert len(fleet.ends) >= 3, f"seed {seed}"
        assert len(late) <= ALLOWED_AFTER, f"seed {seed}: {late}"
        served, refused = fleet.sound
        assert refused <= served / 50, f"seed {seed}: {refused} of {served} sound ones refused"


def test_two_bad_parts_at_once():
    """Guards against refusing sound requests for the part that they share with both."""
    for seed in range(6):
        fleet = Fleet(seed, 9, (BAD, BAD + 1))
        fleet.start_reports()
        fleet.start(fleet.send_sound, 20.0, 0.0, 25.0)
        fleet.start(fleet.send_bad, 3.0, 3.0, 25.0)
        fleet.run(25.0)
        served, refused = fleet.sound
        assert refused <= served / 50, f"seed {seed}: {refused} of {served} sound ones refused"
        for bad, sent in fleet.sent_by_part.items():
            ends = fleet.ends_by_part[bad]
            late = [at for at in sent if len(ends) >= 5 and at > ends[4] + STABLE_S]
            assert len(late) <= ALLOWED_AFTER, f"seed {seed}: {bad:x} {late}"


@pytest.mark.parametrize("node_count", [195, 410])
def test_full_size(node_count):
    """Guards against knowledge that spreads too slowly among hundreds of nodes."""
    fleet = Fleet(1, node_count)
    fleet.start_reports()
    fleet.start(fleet.send_sound, 50.0, 0.0, 12.0)
    fleet.start(fleet.send_bad, 10.0, 1.0, 12.0)
    fleet.run(12.0)
    assert len([at for at in fleet.sent_bad if at > fleet.ends[4] + STABLE_S]) <= ALLOWED_AFTER
    assert fleet.sound[1] <= fleet.sound[0] / 50
