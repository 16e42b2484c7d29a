"""One run of a small workspace beside one that sends ten times its share."""

import collections
import dataclasses

import numpy

from lynxlanding.admission import (
    admission_controller,
    admission_request,
    decision,
    workspace_shares,
)
from lynxlanding_bench import event_loop

POOL = "model"
SMALL = "small"
LARGE = "large"
SMALL_OWED = 0.1
LARGE_OWED = 0.8
FIXED_S = 0.4
VARIABLE_S = 0.8
SERVICE_S = FIXED_S + VARIABLE_S
TIMEOUT_S = 5.0
GOSSIP_INTERVAL_S = 1.0
TICK_S = 0.5
WINDOW_S = 5.0
WARM_UP_S = 15.0


@dataclasses.dataclass(slots=True, frozen=True)
class SharesCase:
    """Settings of one run.

    Parameters
    ----------
    nodes : int
        Number of nodes.
    capacity : float
        Requests/s that the endpoints serve. The small workspace is owed 10% of it, the large one
        80%; the small one sends what it is owed, the large one ten times as much.
    partition : bool
        Whether the nodes are cut into two sides after 20 s.
    traffic : {"even", "uneven", "moving"}
        Whether each workspace's traffic is the same at every node, differs by Zipf's law, or
        differs and moves to other nodes every 20 s.
    with_shares : bool
        Whether rates are owed, or all requests are alike.
    measure_s : float
        Duration after the warm-up, in seconds.
    seed : int
        Seed of the run.
    """

    nodes: int
    capacity: float
    partition: bool = False
    traffic: str = "uneven"
    with_shares: bool = True
    measure_s: float = 40.0
    seed: int = 1


class _Backend:
    """All endpoints as one first-in first-out queue in front of their slots."""

    def __init__(self, slots):
        self.slots = slots
        self.running = 0
        self.queue = collections.deque()


class SharesRun:
    """Nodes with admission in front of endpoints that share their load ideally.

    Parameters
    ----------
    case : SharesCase
        Settings.
    """

    def __init__(self, case):
        self._case = case
        self._loop = event_loop.EventLoop()
        self._random_state = numpy.random.default_rng(case.seed)
        slots = int(case.capacity * SERVICE_S)
        self._backend = _Backend(slots)
        self._owed = {SMALL: SMALL_OWED * case.capacity, LARGE: LARGE_OWED * case.capacity}
        self._sent_rate = {SMALL: self._owed[SMALL], LARGE: 10 * self._owed[LARGE]}
        owed = {}
        if case.with_shares:
            for workspace, rate in self._owed.items():
                owed[(workspace, workspace_shares.REQUESTS)] = rate
        self._nodes = []
        self._waiting = {}
        for number in range(case.nodes):
            random_state = numpy.random.default_rng([case.seed, number])
            node = admission_controller.AdmissionController(f"n{number}", random_state)
            for other in range(case.nodes):
                node.allocator.add_node(f"n{other}", 0.0)
            node.set_guaranteed_rates(owed, 0.0)
            node.set_pool_slots({POOL: slots}, 0.0)
            self._nodes.append(node)
        self._sides = [number * 2 // case.nodes for number in range(case.nodes)]
        self._end = WARM_UP_S + case.measure_s
        seconds = int(self._end) + 1
        self._sent = {w: [0] * seconds for w in self._owed}
        self._served = {w: [0] * seconds for w in self._owed}
        self._within = {w: [0] * seconds for w in self._owed}

    def run(self):
        """Run and return the measured row."""
        for number, node in enumerate(self._nodes):
            offset = float(self._random_state.random())
            self._loop.at(offset * GOSSIP_INTERVAL_S, self._gossip, number)
            self._loop.at(offset * TICK_S, self._tick, node)
        self._loop.at(0.0, self._send_second)
        self._loop.run_until(self._end)
        case = self._case
        row = {
            "nodes": case.nodes,
            "traffic": case.traffic,
            "partition": case.partition,
            "shares": case.with_shares,
        }
        first = int(WARM_UP_S)
        last = int(self._end - TIMEOUT_S)
        for workspace in (SMALL, LARGE):
            due = 0.0
            for second in range(first, last):
                due += min(self._sent[workspace][second], self._owed[workspace])
            served = sum(self._served[workspace][first:last])
            row[f"{workspace}_served_over_owed"] = served / due
            row[f"{workspace}_within_over_owed"] = sum(self._within[workspace][first:last]) / due
            row[f"{workspace}_worst_window_within"] = self._worst_window(workspace, first, last)
        row["unused_share"] = max(0.0, 1.0 - row["small_within_over_owed"])
        return row

    def _worst_window(self, workspace, first, last):
        width = int(WINDOW_S)
        worst = 0.0
        for second in range(first, last - width):
            admitted = sum(self._within[workspace][second : second + width])
            worst = max(worst, admitted / (self._owed[workspace] * width))
        return worst

    def _send_second(self):
        # The arrivals of one second are drawn together.
        now = self._loop.now
        if now >= self._end - 1:
            return
        for workspace, rate in self._sent_rate.items():
            count = int(self._random_state.poisson(rate))
            weights = self._weights(workspace, int(now // 20.0))
            nodes = self._random_state.choice(len(self._nodes), size=count, p=weights)
            moments = now + self._random_state.random(count)
            times = FIXED_S + self._random_state.exponential(VARIABLE_S, size=count)
            for number in range(count):
                moment = float(moments[number])
                self._sent[workspace][int(moment)] += 1
                self._loop.at(
                    moment, self._offer, workspace, int(nodes[number]), float(times[number])
                )
        self._loop.after(1.0, self._send_second)

    def _weights(self, workspace, period):
        count = len(self._nodes)
        if self._case.traffic == "even":
            return numpy.full(count, 1.0 / count)
        if self._case.traffic == "uneven":
            period = 0
        # Zipf over the nodes, in another order for each workspace and period.
        random_state = numpy.random.default_rng([self._case.seed, period, workspace == SMALL])
        weights = 1.0 / numpy.arange(1, count + 1)
        random_state.shuffle(weights)
        return weights / weights.sum()

    def _offer(self, workspace, number, service_s):
        now = self._loop.now
        request_id = f"{workspace}-{now!r}-{number}"
        request = admission_request.AdmissionRequest(
            request_id, workspace, POOL, 5, now + TIMEOUT_S
        )
        self._waiting[request_id] = (workspace, number, service_s, now)
        self._apply(self._nodes[number].offer(request, now))

    def _apply(self, decisions):
        now = self._loop.now
        for item in decisions:
            if item.outcome == decision.QUEUED:
                continue
            entry = self._waiting.pop(item.request_id)
            if item.outcome == decision.REFUSED:
                continue
            if item.within_share:
                self._within[entry[0]][int(now)] += 1
            job = (item.request_id, *entry)
            if self._backend.running < self._backend.slots:
                self._start(job)
            else:
                self._backend.queue.append(job)

    def _start(self, job):
        self._backend.running += 1
        self._loop.after(job[3], self._finish, job)

    def _finish(self, job):
        request_id, workspace, number, _, sent_at = job
        now = self._loop.now
        self._backend.running -= 1
        if self._backend.queue:
            self._start(self._backend.queue.popleft())
        if now <= sent_at + TIMEOUT_S:
            self._served[workspace][int(sent_at)] += 1
        self._apply(self._nodes[number].release(request_id, now))

    def _tick(self, node):
        self._apply(node.update(self._loop.now))
        self._loop.after(TICK_S, self._tick, node)

    def _gossip(self, number):
        now = self._loop.now
        demand = self._nodes[number].demand(now)
        is_cut = self._case.partition and now >= WARM_UP_S + 5.0
        # Gossip between 410 nodes takes several rounds.
        rounds = numpy.log2(max(2, len(self._nodes))) / 2
        delay_s = float(self._random_state.random()) * rounds * GOSSIP_INTERVAL_S
        self._loop.after(delay_s, self._hear, number, demand, now, is_cut)
        self._loop.after(GOSSIP_INTERVAL_S, self._gossip, number)

    def _hear(self, number, demand, heard_at, is_cut):
        for other, node in enumerate(self._nodes):
            if is_cut and self._sides[other] != self._sides[number]:
                continue
            node.allocator.record_demand(f"n{number}", demand, heard_at)
