"""Load report that a node sends to its peers several times a second."""

import dataclasses

from lynxlanding.crashes import statements
from lynxlanding.peers import protocol

# Start times of endpoints must be below this value, which the encoding can hold.
MAX_STARTED_MS = 1 << 63


def is_encodable_start(started_ms):
    """Return whether the encoding can hold the start time of an endpoint; others are no times."""
    return 0 <= started_ms < MAX_STARTED_MS


def age_ms(stated_at, now):
    """Return the age of a statement in milliseconds.

    It may arrive between ``now`` and the encoding, so the age is 0 at least.
    """
    return max(0, int((now - stated_at) * 1000))


def port_at_same_host(address, other_address):
    """Return the port of ``address`` if both have the same host, else 0."""
    host, _, port = address.rpartition(":")
    if host != other_address.rpartition(":")[0] or not port.isdigit():
        return 0
    return int(port)


@dataclasses.dataclass(slots=True, frozen=True)
class ReportedLimit:
    """What an endpoint has stated to the sender about the rate of requests that it takes.

    Parameters
    ----------
    endpoint_hash : int
        Hash of the endpoint id.
    started_ms : int
        Start of the endpoint's incarnation, in Unix milliseconds.
    limit_per_s : float or None
        Requests a second from all nodes together; None if the limit has ended.
    age_ms : int
        Time since the statement, in milliseconds.
    """

    endpoint_hash: int
    started_ms: int
    limit_per_s: float | None
    age_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class ReportedLeaving:
    """An endpoint that has said to the sender in a response that it is leaving.

    Parameters
    ----------
    endpoint_hash : int
        Hash of the endpoint id.
    started_ms : int
        Start of the endpoint's incarnation, in Unix milliseconds.
    age_ms : int
        Time since the response, in milliseconds.
    """

    endpoint_hash: int
    started_ms: int
    age_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class ReportedCold:
    """An endpoint that is cold as far as the sender itself can tell.

    Parameters
    ----------
    endpoint_hash : int
        Hash of the endpoint id.
    started_ms : int
        Start of the endpoint's incarnation, in Unix milliseconds.
    cold_ms : int
        For how long it is cold from the time of the statement on, in milliseconds.
    age_ms : int
        Time since the statement, in milliseconds.
    """

    endpoint_hash: int
    started_ms: int
    cold_ms: int
    age_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class ReportedEvacuations:
    """Evacuated data centres as the sender has read them from the store.

    Parameters
    ----------
    data_centres : tuple of str
        All data centres that are evacuated at that version.
    era, revision : int
        Version of the store.
    age_ms : int
        Time since the store returned it, in milliseconds.
    """

    data_centres: tuple[str, ...]
    era: int
    revision: int
    age_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class PeerReport:
    """Load report of one node.

    Parameters
    ----------
    node_id : str
        Id of the sender.
    incarnation : int
        Start time of the sender's process. A later run has a higher value, unless the
        clock was set back.
    sequence : int
        Sequence number of the report within the incarnation.
    address : str
        ``host:port`` at which the sender receives reports.
    configuration_version : int
        Version of the configuration in force at the sender; 0 if there is none.
    loads : dict of int to int
        The sender's requests in flight by the hash of the endpoint id.
    has_traffic : bool
        Whether the sender knows that a caller's request has arrived at any node.
    stalled : frozenset of int
        Hashes of the endpoints that the sender recently saw stalling.
    busy_groups : dict of str to float
        Number of groups that the sender's requests keep busy, by model.
    loading : frozenset of int
        Hashes of the engines that are loading weights on the sender's orders.
    is_store_unavailable : bool
        Whether the store refuses or does not answer the sender.
    limits : tuple of ReportedLimit
        Limits that endpoints have stated to the sender.
    prompts : PromptStatements
        Ends of endpoints and parts of prompts; times are relative to the sending of the report.
    callers_address : str
        ``host:port`` at which the sender takes callers' requests.
    takes_requests : bool
        Whether the sender takes requests of nodes that reach no endpoint.
    is_cut : bool
        Whether the sender itself reaches no endpoint.
    leavings : tuple of ReportedLeaving
        Endpoints that have said to the sender that they are leaving.
    protocol_version : int
        Version of the protocol between nodes that the sender speaks.
    gatherers : tuple of int
        Hashes of the ids of the nodes that gather this report; the first one sums up the sender's
        work, so that others must not count it. Empty if the sender reports to all nodes.
    cold : tuple of ReportedCold
        Endpoints that are cold as far as the sender itself can tell.
    evacuations : ReportedEvacuations or None
        What the sender has read about evacuations; None if it has not, or does not watch them.
    """

    node_id: str
    incarnation: int
    sequence: int
    address: str
    configuration_version: int
    loads: dict[int, int]
    has_traffic: bool = False
    stalled: frozenset[int] = frozenset()
    busy_groups: dict[str, float] = dataclasses.field(default_factory=dict)
    loading: frozenset[int] = frozenset()
    is_store_unavailable: bool = False
    limits: tuple[ReportedLimit, ...] = ()
    prompts: statements.PromptStatements = statements.PromptStatements()
    callers_address: str = ""
    takes_requests: bool = False
    is_cut: bool = False
    leavings: tuple[ReportedLeaving, ...] = ()
    protocol_version: int = protocol.UNSTATED
    gatherers: tuple[int, ...] = ()
    cold: tuple[ReportedCold, ...] = ()
    evacuations: ReportedEvacuations | None = None
