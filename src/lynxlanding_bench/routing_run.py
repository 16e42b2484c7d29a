"""One run of a routing policy on modelled engines."""

import dataclasses

import numpy

from lynxlanding.routing import (
    attempt_result,
    cache_report,
    endpoint_member,
    endpoint_view,
    load_report,
    policy,
    policy_registry,
)
from lynxlanding_bench import engine_model, event_loop

SERVICE = "model"
REPORT_INTERVAL_S = 0.5
DECODE_MEAN_S = 0.8
PREFIXES_PER_ENGINE = 10
ZIPF_EXPONENT = 0.9
STRAGGLER_SHARE = 0.05
STRAGGLER_SLOWNESS = 4.0
LOST_EVENT_SHARE = 0.1


@dataclasses.dataclass(slots=True, frozen=True)
class RoutingCase:
    """Settings of one run.

    Parameters
    ----------
    policy : str
        Name of the policy.
    engines, nodes : int
        Number of each. Each node has its own view and an equal part of the requests.
    report_lag_s : float
        Age of load reports and cache events when they arrive, in seconds.
    stragglers : bool
        Whether 5% of the engines are four times slower.
    lost_events : bool
        Whether 10% of the cache events are lost.
    utilisation : float
        Requests as a fraction of the capacity without cache hits.
    warm_up_s, measure_s : float
        Virtual time before and during the measurement, in seconds.
    seed : int
        Seed of the run.
    """

    policy: str
    engines: int
    nodes: int
    report_lag_s: float
    stragglers: bool = False
    lost_events: bool = False
    utilisation: float = 0.8
    warm_up_s: float = 10.0
    measure_s: float = 20.0
    seed: int = 1


@dataclasses.dataclass(slots=True)
class _Request:
    node: object
    ticket: object
    sent_at: float
    prefix: str
    decode_s: float


class _Node:
    def __init__(self, case, members, seed):
        self.view = endpoint_view.EndpointView()
        self.view.set_node_count(case.nodes)
        self.view.set_members(SERVICE, members, 0.0)
        self.policy = policy_registry.create(case.policy)
        self.random_state = numpy.random.default_rng(seed)
        self.sequences = [0] * len(members)


class RoutingRun:
    """Poisson arrivals with Zipf-distributed prefixes, routed by several nodes.

    Parameters
    ----------
    case : RoutingCase
        Settings.
    """

    def __init__(self, case):
        self._case = case
        self._loop = event_loop.EventLoop()
        self._random_state = numpy.random.default_rng(case.seed)
        self._shape = engine_model.EngineShape()
        self._engines = []
        for number in range(case.engines):
            slow = case.stragglers and number < STRAGGLER_SHARE * case.engines
            self._engines.append(
                engine_model.EngineModel(
                    f"e{number}", self._shape, STRAGGLER_SLOWNESS if slow else 1.0
                )
            )
        self._engine_by_address = {engine.address: engine for engine in self._engines}
        members = [endpoint_member.EndpointMember(e.address) for e in self._engines]
        self._nodes = [_Node(case, members, [case.seed, n]) for n in range(case.nodes)]
        self._first_token_s = []
        self._hits = 0
        self._started = 0
        self._spreads = []
        self._peaks = []
        self._slow_share = [0, 0]

    def run(self):
        """Run and return the measured row."""
        case = self._case
        mean_s = self._shape.miss_s + DECODE_MEAN_S
        rate = case.utilisation * case.engines * self._shape.slots / mean_s
        end = case.warm_up_s + case.measure_s
        self._schedule_arrivals(rate, end)
        for number, node in enumerate(self._nodes):
            self._loop.at(number * REPORT_INTERVAL_S / case.nodes, self._poll, node)
        self._loop.at(case.warm_up_s, self._sample)
        self._loop.run_until(end)
        first = numpy.percentile(self._first_token_s, [50, 95, 99])
        return {
            "engines": case.engines,
            "nodes": case.nodes,
            "policy": case.policy,
            "report_lag_s": case.report_lag_s,
            "stragglers": case.stragglers,
            "lost_events": case.lost_events,
            "first_token_p50_ms": float(first[0] * 1e3),
            "first_token_p95_ms": float(first[1] * 1e3),
            "first_token_p99_ms": float(first[2] * 1e3),
            "cache_hit_share": self._hits / self._started,
            "load_spread": float(numpy.mean(self._spreads)),
            "peak_load_over_mean": float(numpy.percentile(self._peaks, 95)),
            "requests_to_slow_share": self._slow_share[0] / self._slow_share[1],
            "requests": self._started,
        }

    def _schedule_arrivals(self, rate, end):
        count = int(rate * end)
        moments = numpy.sort(self._random_state.random(count) * end)
        prefixes = PREFIXES_PER_ENGINE * self._case.engines
        weights = 1.0 / numpy.arange(1, prefixes + 1) ** ZIPF_EXPONENT
        chosen = self._random_state.choice(prefixes, size=count, p=weights / weights.sum())
        decode = self._random_state.exponential(DECODE_MEAN_S, size=count)
        nodes = self._random_state.integers(len(self._nodes), size=count)
        self._arrivals = zip(
            moments.tolist(), chosen.tolist(), decode.tolist(), nodes.tolist(), strict=True
        )
        self._schedule_next_arrival()

    def _schedule_next_arrival(self):
        arrival = next(self._arrivals, None)
        if arrival is not None:
            self._loop.at(arrival[0], self._arrive, arrival)

    def _arrive(self, arrival):
        self._schedule_next_arrival()
        now, prefix_number, decode_s, node_number = arrival
        node = self._nodes[node_number]
        prefix = f"p{prefix_number}"
        node.view.advance(now)
        pool = node.view.pool(SERVICE)
        state = node.policy.choose(pool, policy.RouteRequest(prefix), now, node.random_state)
        ticket = node.view.begin_request(state.address, now)
        engine = self._engine_by_address[state.address]
        if now >= self._case.warm_up_s:
            self._slow_share[0] += engine.slowness > 1.0
            self._slow_share[1] += 1
        request = _Request(node, ticket, now, prefix, decode_s)
        if engine.running < engine.shape.slots:
            self._start(engine, request)
        else:
            engine.queue.append(request)

    def _start(self, engine, request):
        now = self._loop.now
        hit, first_s, total_s = engine.start(request.prefix, request.decode_s)
        first_token_s = now + first_s - request.sent_at
        if request.sent_at >= self._case.warm_up_s:
            self._first_token_s.append(first_token_s)
            self._hits += hit
            self._started += 1
        result = attempt_result.AttemptResult(attempt_result.SUCCEEDED, first_token_s)
        self._loop.after(total_s, self._finish, engine, request, result)

    def _finish(self, engine, request, result):
        request.node.view.end_request(request.ticket, result, self._loop.now)
        waiting = engine.finish()
        if waiting is not None:
            self._start(engine, waiting)

    def _poll(self, node):
        now = self._loop.now
        reports = []
        for number, engine in enumerate(self._engines):
            reports.append(
                load_report.LoadReport(
                    engine.address,
                    "i",
                    engine.shape.slots,
                    engine.running,
                    len(engine.queue),
                    now,
                )
            )
            sequence = len(engine.cache_events)
            known = node.sequences[number]
            if sequence == known:
                continue
            node.sequences[number] = sequence
            events = []
            for offset, (kind, prefix) in enumerate(engine.cache_events[known:sequence]):
                if self._case.lost_events and self._random_state.random() < LOST_EVENT_SHARE:
                    continue
                events.append(cache_report.CacheEvent(known + offset + 1, kind, prefix))
            report = cache_report.CacheReport(engine.address, tuple(events), sequence, "i")
            reports.append(report)
        self._loop.after(self._case.report_lag_s, self._deliver, node, reports)
        self._loop.after(REPORT_INTERVAL_S, self._poll, node)

    def _deliver(self, node, reports):
        now = self._loop.now
        for report in reports:
            if isinstance(report, load_report.LoadReport):
                node.view.apply_load(report, now)
            else:
                node.view.apply_cache(report)

    def _sample(self):
        loads = numpy.array([engine.load for engine in self._engines], dtype=float)
        mean = max(loads.mean(), 1e-9)
        self._spreads.append(loads.std() / mean)
        self._peaks.append(loads.max() / mean)
        self._loop.after(0.1, self._sample)
