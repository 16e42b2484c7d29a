"""What callers and endpoints saw in a day."""

import dataclasses

from lynxlanding_bench.site_day import fault

# Kinds of requests.
STREAM = "stream"
UNSAFE = "unsafe"
SAFE = "safe"


@dataclasses.dataclass(slots=True, frozen=True)
class Response:
    """What one caller got; times in monotonic seconds.

    Parameters
    ----------
    request_id : str
        Identity of the request, which the endpoints' history repeats.
    kind : str
        ``STREAM``, ``UNSAFE`` or ``SAFE``.
    node : str
        Node that it was sent to.
    sent_at, ended_at : float
        When it was sent, and when the response was complete.
    status : int
        HTTP status; 0 if the connection broke.
    is_whole : bool
        Whether it was served: 200, with the endpoint's seal and all of its body.
    states_limit, states_leaving : bool
        Whether the response said so of its endpoint.
    has_bad_part : bool
        Whether the prompt had a part that crashes engines.
    """

    request_id: str
    kind: str
    node: str
    sent_at: float
    ended_at: float
    status: int
    is_whole: bool
    states_limit: bool = False
    states_leaving: bool = False
    has_bad_part: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class SiteEvent:
    """What an endpoint recorded: ``run``, ``reject`` or ``crash``; monotonic seconds."""

    kind: str
    request_id: str
    endpoint_id: str
    at: float


@dataclasses.dataclass(slots=True, frozen=True)
class PlayedFault:
    """A fault and when it was in force, in monotonic seconds."""

    fault: fault.Fault
    begun_at: float
    ended_at: float


@dataclasses.dataclass(slots=True, frozen=True)
class DayRecord:
    """One day.

    Parameters
    ----------
    nodes : tuple of str
        Names of the nodes.
    started_at, ended_at : float
        Start and end of the load, monotonic seconds.
    responses : list of Response
        What callers got.
    events : list of SiteEvent
        What endpoints recorded.
    faults : list of PlayedFault
        What was played.
    cold_arrivals : list of (str, float)
        Endpoint id and monotonic time of the requests at cold engines.
    cold_per_s : float
        Requests a second that cold engines bear; 0 if no engine is ever cold.
    """

    nodes: tuple[str, ...]
    started_at: float
    ended_at: float
    responses: list[Response]
    events: list[SiteEvent]
    faults: list[PlayedFault]
    cold_arrivals: list[tuple[str, float]] = dataclasses.field(default_factory=list)
    cold_per_s: float = 0.0

    def faults_of(self, kind):
        """Return the faults of a kind."""
        return [item for item in self.faults if item.fault.kind == kind]

    def runs(self):
        """Return the runs of all requests."""
        return [event for event in self.events if event.kind == "run"]

    def response_by_id(self):
        """Return the responses by request id."""
        return {response.request_id: response for response in self.responses}
