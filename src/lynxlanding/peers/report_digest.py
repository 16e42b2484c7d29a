"""Digest of the reports of several nodes."""

import dataclasses

from lynxlanding.peers import peer_report


@dataclasses.dataclass(slots=True, frozen=True)
class MemberState:
    """State of one node whose work is part of a digest.

    Parameters
    ----------
    key : int
        Hash of the node id.
    sequence : int
        Sequence number of the node's last report that is part of the digest.
    incarnation_tag : int
        Part of the hash of the node's incarnation.
    age_ms : int
        Time since that report, in milliseconds.
    requests : int
        The node's requests in flight.
    callers_port : int
        Port at which the node takes callers' requests, at the host of its address; 0 if it is at
        another host.
    is_store_unavailable, takes_requests, is_cut : bool
        As in ``PeerReport``.
    """

    key: int
    sequence: int
    incarnation_tag: int
    age_ms: int
    requests: int = 0
    callers_port: int = 0
    is_store_unavailable: bool = False
    takes_requests: bool = False
    is_cut: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class ForwardedReport:
    """Encoded report that is passed on as it is.

    Parameters
    ----------
    data : bytes
        The report as its sender has encoded it, so that fields of later versions are kept.
    age_ms : int
        Time since it arrived at the gatherer, in milliseconds.
    """

    data: bytes
    age_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class ReportDigest:
    """Sums and unions of the reports of a gatherer's members.

    Parameters
    ----------
    node_id : str
        Id of the gatherer.
    incarnation : int
        Incarnation of the gatherer.
    sequence : int
        Sequence number of the digest within the incarnation.
    members : tuple of MemberState
        Nodes whose work is part of this digest and of no other.
    heard : dict of int to int
        Time since other nodes were heard, in milliseconds, by the hash of the node id.
    loads : dict of int to int
        Requests in flight from all members by the hash of the endpoint id.
    busy_groups : dict of str to float
        Number of groups that the requests of all members keep busy, by model.
    has_traffic : bool
        Whether a member knows that a caller's request has arrived at any node.
    stalled, loading : frozenset of int
        Hashes of the endpoints that a member reports as stalled, or as loading on its orders.
    limits : tuple of ReportedLimit
        The latest limit of each endpoint that a member reports.
    leavings : tuple of ReportedLeaving
        Endpoints that have said to a member that they are leaving.
    forwarded : tuple of ForwardedReport
        Reports with statements on prompts.
    cold : tuple of ReportedCold
        Endpoints that are cold as far as a member itself can tell.
    evacuations : ReportedEvacuations or None
        The latest reading of a member; None if none has read them.
    configuration_version : int
        Newest version of the configuration that a member has in force; 0 if none has any.
    configuration_holders : tuple of int
        Keys of members that have it, or some of them.
    """

    node_id: str
    incarnation: int
    sequence: int
    members: tuple[MemberState, ...] = ()
    heard: dict[int, int] = dataclasses.field(default_factory=dict)
    loads: dict[int, int] = dataclasses.field(default_factory=dict)
    busy_groups: dict[str, float] = dataclasses.field(default_factory=dict)
    has_traffic: bool = False
    stalled: frozenset[int] = frozenset()
    loading: frozenset[int] = frozenset()
    limits: tuple[peer_report.ReportedLimit, ...] = ()
    leavings: tuple[peer_report.ReportedLeaving, ...] = ()
    forwarded: tuple[ForwardedReport, ...] = ()
    cold: tuple[peer_report.ReportedCold, ...] = ()
    evacuations: peer_report.ReportedEvacuations | None = None
    configuration_version: int = 0
    configuration_holders: tuple[int, ...] = ()
