"""State of one endpoint as known to one node."""

import collections
import dataclasses
import math

from lynxlanding.routing import endpoint_member

# Older reports are ignored, and the history of the own counts is kept for this long.
MAX_REPORT_AGE_S = 10.0

# An endpoint whose time to first token is up to twice the median of its service is not a straggler,
# because the lengths of prompts alone can cause this difference.
MIN_STRAGGLER_RATIO = 2.0

# Time constant with which the straggler factor decays without new observations, so that an endpoint
# that has recovered receives requests again.
STRAGGLER_DECAY_S = 30.0

MAX_STRAGGLER_FACTOR = 20.0

# Assumed until the first load report.
DEFAULT_SLOTS = 16

# Weight of a new observation in the moving average of the time to first token.
FIRST_TOKEN_WEIGHT = 0.2


@dataclasses.dataclass(slots=True, eq=False)
class EndpointState:
    """Load, latency and health of one endpoint as known to one node.

    Parameters
    ----------
    member : endpoint_member.EndpointMember
        Membership according to the configuration.
    service_median : LatencyMedian
        Median time to first token of the endpoints of the same service.
    """

    member: endpoint_member.EndpointMember
    service_median: object
    generation: int = 0
    instance: str | None = None
    slots: int = DEFAULT_SLOTS
    reported_load: int = 0
    measured_at: float = -math.inf
    model: str | None = None
    version: str | None = None
    adapters: tuple = ()
    group: str | None = None
    epoch: int | None = None
    in_flight: int = 0
    leaving_sources: set = dataclasses.field(default_factory=set)
    leaving_cleared_at: float = -math.inf
    group_valid_until: float = -math.inf
    consecutive_failures: int = 0
    consecutive_ejections: int = 0
    ejected_at: float = -math.inf
    ejected_until: float | None = None
    is_probing: bool = False
    last_reachable_at: float = -math.inf
    next_timer_at: float | None = None
    pools: list = dataclasses.field(default_factory=list)
    _in_flight_at_measurement: int = 0
    _in_flight_history: collections.deque = dataclasses.field(default_factory=collections.deque)
    _mean_first_token_s: float | None = None
    _first_token_updated_at: float = -math.inf

    @property
    def address(self):
        """``host:port`` of the endpoint."""
        return self.member.address

    @property
    def load(self):
        """Estimated number of requests at the endpoint.

        This is the load in the last report plus the change of this node's requests in flight
        since the measurement. It is at least the number of this node's requests in flight, even if
        the clocks of node and endpoint differ.
        """
        estimate = self.reported_load + self.in_flight - self._in_flight_at_measurement
        return max(estimate, self.in_flight)

    @property
    def unreported_requests(self):
        """Number of this node's requests in flight that the last report does not include."""
        return max(0, self.in_flight - self._in_flight_at_measurement)

    @property
    def is_leaving(self):
        """Whether any source reports that the endpoint is leaving."""
        return bool(self.leaving_sources)

    def projected_load(self, node_count):
        """Return the estimated load including unreported requests of other nodes.

        All nodes know the same lagging reports and apply the same policy, so each other node is
        assumed to have as many unreported requests at the endpoint as this one.
        """
        return self.load + (node_count - 1) * self.unreported_requests

    def score(self, node_count, now):
        """Return the cost of an additional request at the endpoint; lower is better."""
        return (self.projected_load(node_count) + 1) / self.slots * self.straggler_factor(now)

    def straggler_factor(self, now):
        """Return the factor by which the endpoint is slower than the median; 1 if no straggler."""
        median_s = self.service_median.seconds
        if self._mean_first_token_s is None or median_s is None:
            return 1.0
        ratio = self._mean_first_token_s / median_s
        if ratio <= MIN_STRAGGLER_RATIO:
            return 1.0
        age = max(0.0, now - self._first_token_updated_at)
        excess = (ratio - 1.0) * math.exp(-age / STRAGGLER_DECAY_S)
        if excess + 1.0 <= MIN_STRAGGLER_RATIO:
            return 1.0
        return min(1.0 + excess, MAX_STRAGGLER_FACTOR)

    def observe_first_token(self, seconds, now):
        """Record an observed time to first token, in seconds."""
        self.service_median.observe(seconds)
        if self._mean_first_token_s is None:
            self._mean_first_token_s = seconds
        else:
            self._mean_first_token_s += FIRST_TOKEN_WEIGHT * (seconds - self._mean_first_token_s)
        self._first_token_updated_at = now

    def adjust_in_flight(self, delta, now):
        """Change the count of own requests in flight and record it until a report includes it."""
        self.in_flight = max(0, self.in_flight + delta)
        history = self._in_flight_history
        history.append((now, self.in_flight))
        while len(history) > 1 and history[0][0] < now - MAX_REPORT_AGE_S:
            history.popleft()

    def apply_report(self, report):
        """Replace the reported load with that of a newer report."""
        self.slots = max(1, report.slots)
        self.reported_load = report.running + report.queued
        self.measured_at = report.measured_at
        self.model = report.model
        self.version = report.version
        self.adapters = report.adapters
        self.group = report.group
        self.epoch = report.epoch
        history = self._in_flight_history
        while history and history[0][0] <= report.measured_at:
            self._in_flight_at_measurement = history.popleft()[1]

    def reset_for_instance(self, instance):
        """Discard the counts, latency and failures of the previous instance."""
        self.instance = instance
        self.generation += 1
        self.in_flight = 0
        self._in_flight_at_measurement = 0
        self._in_flight_history.clear()
        self._mean_first_token_s = None
        self.consecutive_failures = 0
        self.consecutive_ejections = 0
        self.ejected_until = None
        self.is_probing = False
