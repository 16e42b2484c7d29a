"""One run of an overload with callers that retry."""

import dataclasses

import numpy

from lynxlanding.admission import admission_controller, admission_request, decision
from lynxlanding.routing import (
    attempt_result,
    endpoint_member,
    endpoint_view,
    load_report,
    policy,
    policy_registry,
)
from lynxlanding_bench import engine_model, event_loop

POOL = "model"
REPORT_INTERVAL_S = 0.5
REPORT_LAG_S = 0.5
GOSSIP_INTERVAL_S = 1.0
TICK_S = 0.2
DECODE_MEAN_S = 0.8
TIMEOUT_S = 5.0
MAX_RETRIES = 3
BACKOFF_S = 0.5
SHAPE = engine_model.EngineShape()
SERVICE_S = SHAPE.miss_s + DECODE_MEAN_S


@dataclasses.dataclass(slots=True, frozen=True)
class OverloadCase:
    """Settings of one run.

    Parameters
    ----------
    load : float
        New requests as a multiple of the capacity during the overload.
    with_admission : bool
        Whether requests pass the admission queue, or go to the engines directly.
    engines, nodes : int
        Number of each.
    before_s, overload_s, after_s : float
        Duration of the phases, in seconds.
    base_load : float
        Load before and after the overload.
    seed : int
        Seed of the run.
    """

    load: float
    with_admission: bool
    engines: int = 60
    nodes: int = 9
    before_s: float = 10.0
    overload_s: float = 30.0
    after_s: float = 60.0
    base_load: float = 0.7
    seed: int = 1

    @property
    def capacity(self):
        """Requests/s that the engines can serve."""
        return self.engines * SHAPE.slots / SERVICE_S


@dataclasses.dataclass(slots=True, eq=False)
class _Attempt:
    request_id: str
    arrived_at: float
    sent_at: float
    number: int
    decode_s: float
    node: object
    engine: object = None
    ticket: object = None
    state: str = "new"


class _Node:
    def __init__(self, case, number, members):
        self.random_state = numpy.random.default_rng([case.seed, number])
        self.name = f"n{number}"
        self.view = endpoint_view.EndpointView()
        self.view.set_node_count(case.nodes)
        self.view.set_members(POOL, members, 0.0)
        self.policy = policy_registry.create("two_choices")
        self.admission = admission_controller.AdmissionController(self.name, self.random_state)
        for other in range(case.nodes):
            self.admission.allocator.add_node(f"n{other}", 0.0)
        self.admission.set_pool_slots({POOL: case.engines * SHAPE.slots}, 0.0)
        self.waiting = {}


class OverloadRun:
    """Callers with a timeout that retry after refusals and timeouts.

    A refused caller waits for ``Retry-After``, one whose time has passed for half a second; each
    gives up after three retries.

    Parameters
    ----------
    case : OverloadCase
        Settings.
    """

    def __init__(self, case):
        self._case = case
        self._loop = event_loop.EventLoop()
        self._random_state = numpy.random.default_rng(case.seed)
        self._engines = [engine_model.EngineModel(f"e{n}", SHAPE) for n in range(case.engines)]
        self._engine_by_address = {engine.address: engine for engine in self._engines}
        members = [endpoint_member.EndpointMember(e.address) for e in self._engines]
        self._nodes = [_Node(case, n, members) for n in range(case.nodes)]
        seconds = int(case.before_s + case.overload_s + case.after_s) + 1
        self._done_by_second = [0] * seconds
        self._arrived_by_second = [0] * seconds
        self._in_time_by_second = [0] * seconds
        self._attempts = 0
        self._retries = 0
        self._late_refusals_s = []

    def run(self):
        """Run and return the measured row."""
        case = self._case
        end = case.before_s + case.overload_s + case.after_s
        self._schedule_arrivals(end)
        for node in self._nodes:
            self._loop.at(0.0, self._gossip, node)
            self._loop.at(0.001, self._tick, node)
            offset = float(self._random_state.random()) * REPORT_INTERVAL_S
            self._loop.at(offset, self._poll, node)
        self._loop.run_until(end)
        first = int(case.before_s) + 5
        last = int(case.before_s + case.overload_s)
        in_overload = self._done_by_second[first:last]
        return {
            "load": case.load,
            "admission": case.with_admission,
            "goodput_per_s": sum(in_overload) / len(in_overload),
            "worst_second_per_s": min(in_overload),
            "capacity_per_s": case.capacity,
            "caller_retry_share": self._retries / self._attempts,
            "recovery_s": self._recovery_s(last),
            "refusal_delay_p99_ms": self._refusal_delay_ms(),
            "attempts": self._attempts,
        }

    def _recovery_s(self, last):
        # Recovered from the first second on in which, and in the four following ones, 95% of the
        # new requests were completed in time.
        good = 0
        for second in range(last, int(last + self._case.after_s) - 8):
            arrived = self._arrived_by_second[second]
            good = good + 1 if self._in_time_by_second[second] >= 0.95 * arrived else 0
            if good == 5:
                return float(second - 4 - last)
        return float("inf")

    def _refusal_delay_ms(self):
        if not self._late_refusals_s:
            return 0.0
        return float(numpy.percentile(self._late_refusals_s, 99) * 1e3)

    def _schedule_arrivals(self, end):
        case = self._case
        moments = []
        start = 0.0
        for duration, load in (
            (case.before_s, case.base_load),
            (case.overload_s, case.load),
            (case.after_s, case.base_load),
        ):
            count = int(duration * load * case.capacity)
            moments.extend((start + self._random_state.random(count) * duration).tolist())
            start += duration
        decode = self._random_state.exponential(DECODE_MEAN_S, size=len(moments))
        nodes = self._random_state.integers(len(self._nodes), size=len(moments))
        for number, moment in enumerate(moments):
            attempt = _Attempt(
                f"r{number}", moment, moment, 0, float(decode[number]), self._nodes[nodes[number]]
            )
            self._loop.at(moment, self._send, attempt)
            self._arrived_by_second[int(moment)] += 1

    def _send(self, attempt):
        now = self._loop.now
        self._attempts += 1
        self._retries += attempt.number > 0
        self._loop.at(attempt.sent_at + TIMEOUT_S, self._time_out, attempt)
        if not self._case.with_admission:
            self._start(attempt)
            return
        node = attempt.node
        node.waiting[attempt.request_id] = attempt
        request = admission_request.AdmissionRequest(
            attempt.request_id, "w", POOL, 5, attempt.sent_at + TIMEOUT_S
        )
        self._apply(node, node.admission.offer(request, now))

    def _apply(self, node, decisions):
        for item in decisions:
            if item.outcome == decision.QUEUED:
                continue
            attempt = node.waiting.pop(item.request_id)
            if item.outcome == decision.ADMITTED:
                self._start(attempt)
                continue
            attempt.state = "ended"
            self._late_refusals_s.append(self._loop.now - attempt.sent_at)
            self._retry(attempt, item.retry_after_s)

    def _retry(self, attempt, delay_s):
        if attempt.number >= MAX_RETRIES:
            return
        moment = self._loop.now + delay_s
        again = _Attempt(
            f"{attempt.request_id}+",
            attempt.arrived_at,
            moment,
            attempt.number + 1,
            attempt.decode_s,
            attempt.node,
        )
        self._loop.at(moment, self._send, again)

    def _start(self, attempt):
        now = self._loop.now
        node = attempt.node
        pool = node.view.pool(POOL)
        state = node.policy.choose(pool, policy.RouteRequest(), now, node.random_state)
        attempt.ticket = node.view.begin_request(state.address, now)
        attempt.engine = self._engine_by_address[state.address]
        if attempt.engine.running < SHAPE.slots:
            self._serve(attempt)
            return
        attempt.state = "waiting"
        attempt.engine.queue.append(attempt)

    def _serve(self, attempt):
        attempt.state = "running"
        _, _, total_s = attempt.engine.start(None, attempt.decode_s)
        self._loop.after(total_s, self._finish, attempt)

    def _finish(self, attempt):
        if attempt.state != "running":
            return
        now = self._loop.now
        self._done_by_second[int(now)] += 1
        if attempt.number == 0:
            self._in_time_by_second[int(attempt.arrived_at)] += 1
        self._leave(attempt, attempt_result.SUCCEEDED)

    def _time_out(self, attempt):
        if attempt.state == "ended":
            return
        if attempt.state == "new":
            del attempt.node.waiting[attempt.request_id]
            self._apply(
                attempt.node, attempt.node.admission.release(attempt.request_id, self._loop.now)
            )
            attempt.state = "ended"
        else:
            self._leave(attempt, attempt_result.CANCELLED)
        self._retry(attempt, BACKOFF_S)

    def _leave(self, attempt, outcome):
        now = self._loop.now
        was_running = attempt.state == "running"
        attempt.state = "ended"
        attempt.node.view.end_request(attempt.ticket, attempt_result.AttemptResult(outcome), now)
        if was_running:
            following = attempt.engine.finish()
            if following is not None:
                self._serve(following)
        else:
            attempt.engine.cancel_waiting(attempt)
        if self._case.with_admission:
            self._apply(attempt.node, attempt.node.admission.release(attempt.request_id, now))

    def _tick(self, node):
        self._apply(node, node.admission.update(self._loop.now))
        self._loop.after(TICK_S, self._tick, node)

    def _gossip(self, node):
        now = self._loop.now
        demand = node.admission.demand(now)
        for other in self._nodes:
            delay_s = float(self._random_state.random()) * GOSSIP_INTERVAL_S
            self._loop.after(
                delay_s, other.admission.allocator.record_demand, node.name, demand, now
            )
        self._loop.after(GOSSIP_INTERVAL_S, self._gossip, node)

    def _poll(self, node):
        now = self._loop.now
        reports = []
        for engine in self._engines:
            reports.append(
                load_report.LoadReport(
                    engine.address, "i", SHAPE.slots, engine.running, len(engine.queue), now
                )
            )
        self._loop.after(REPORT_LAG_S, self._deliver, node, reports)
        self._loop.after(REPORT_INTERVAL_S, self._poll, node)

    def _deliver(self, node, reports):
        for report in reports:
            node.view.apply_load(report, self._loop.now)
