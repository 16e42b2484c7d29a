"""What a node knows about one endpoint."""

import collections
import dataclasses
import math

from lynxlanding.routing import endpoint_member

# Reports older than this are not used, and neither is history of the own counts beyond it.
MAX_REPORT_AGE_S = 10.0

# An endpoint whose time to first token is below twice the typical one is no straggler: prompts
# differ in length by that much.
STRAGGLER_RATIO = 2.0

# Without new observations the penalty decays, so that a straggler that recovered gets requests
# again.
STRAGGLER_DECAY_S = 30.0

MAX_STRAGGLER_FACTOR = 20.0

# Assumed until the first report.
DEFAULT_SLOTS = 16

# Weight of one observation in the moving average of the time to first token.
FIRST_TOKEN_WEIGHT = 0.2


@dataclasses.dataclass(slots=True, eq=False)
class EndpointState:
    """Load, latency and health of one endpoint as one node sees them.

    Parameters
    ----------
    member : endpoint_member.EndpointMember
        Configured membership.
    typical : TypicalLatency
        Typical time to first token of the endpoints of the same service.
    """

    member: endpoint_member.EndpointMember
    typical: object
    generation: int = 0
    instance: str | None = None
    slots: int = DEFAULT_SLOTS
    reported: int = 0
    measured_at: float = -math.inf
    model: str | None = None
    version: str | None = None
    adapters: tuple = ()
    group: str | None = None
    epoch: int | None = None
    in_flight: int = 0
    leaving_sources: set = dataclasses.field(default_factory=set)
    leaving_ended_at: float = -math.inf
    serving_until: float = -math.inf
    failures: int = 0
    ejections: int = 0
    ejected_at: float = -math.inf
    ejected_until: float | None = None
    is_probing: bool = False
    reachable_at: float = -math.inf
    timer_at: float | None = None
    pools: list = dataclasses.field(default_factory=list)
    _own_at_measurement: int = 0
    _history: collections.deque = dataclasses.field(default_factory=collections.deque)
    _first_token_s: float | None = None
    _first_token_at: float = -math.inf

    @property
    def address(self):
        """``host:port`` of the endpoint."""
        return self.member.address

    @property
    def load(self):
        """Requests at the endpoint: the last report and the own requests sent since then.

        Own requests that ended since the measurement are subtracted. The own requests in flight
        are a lower bound, which holds also if the clocks of node and endpoint differ.
        """
        estimate = self.reported + self.in_flight - self._own_at_measurement
        return max(estimate, self.in_flight)

    @property
    def unreported(self):
        """Own requests that the last report does not include yet."""
        return max(0, self.in_flight - self._own_at_measurement)

    @property
    def is_leaving(self):
        """Whether any source says that the endpoint is leaving."""
        return bool(self.leaving_sources)

    def projected_load(self, node_count):
        """Return the load with what the other nodes are expected to have sent.

        All nodes see the same old reports and apply the same policy, so each of the others is
        expected to have sent as many requests there since the report as this one.
        """
        return self.load + (node_count - 1) * self.unreported

    def score(self, node_count, now):
        """Return the cost of one more request; lower is better."""
        return (self.projected_load(node_count) + 1) / self.slots * self.straggler_factor(now)

    def straggler_factor(self, now):
        """Return by how much the endpoint is slower than typical; 1 for endpoints in the norm."""
        typical_s = self.typical.seconds
        if self._first_token_s is None or typical_s is None:
            return 1.0
        ratio = self._first_token_s / typical_s
        if ratio <= STRAGGLER_RATIO:
            return 1.0
        age = max(0.0, now - self._first_token_at)
        excess = (ratio - 1.0) * math.exp(-age / STRAGGLER_DECAY_S)
        if excess + 1.0 <= STRAGGLER_RATIO:
            return 1.0
        return min(1.0 + excess, MAX_STRAGGLER_FACTOR)

    def observe_first_token(self, seconds, now):
        """Take one time to first token, in seconds."""
        self.typical.observe(seconds)
        if self._first_token_s is None:
            self._first_token_s = seconds
        else:
            self._first_token_s += FIRST_TOKEN_WEIGHT * (seconds - self._first_token_s)
        self._first_token_at = now

    def change_in_flight(self, delta, now):
        """Change the own requests in flight and keep the change until it is reported."""
        self.in_flight = max(0, self.in_flight + delta)
        history = self._history
        history.append((now, self.in_flight))
        while len(history) > 1 and history[0][0] < now - MAX_REPORT_AGE_S:
            history.popleft()

    def take_report(self, report):
        """Replace the reported load by that of a newer report."""
        self.slots = max(1, report.slots)
        self.reported = report.running + report.queued
        self.measured_at = report.measured_at
        self.model = report.model
        self.version = report.version
        self.adapters = report.adapters
        self.group = report.group
        self.epoch = report.epoch
        history = self._history
        while history and history[0][0] <= report.measured_at:
            self._own_at_measurement = history.popleft()[1]

    def restart(self, instance):
        """Discard counts, latency and failures of the earlier instance."""
        self.instance = instance
        self.generation += 1
        self.in_flight = 0
        self._own_at_measurement = 0
        self._history.clear()
        self._first_token_s = None
        self.failures = 0
        self.ejections = 0
        self.ejected_until = None
        self.is_probing = False
