"""Messages of a gossip exchange: request, response and, if needed, push."""

import dataclasses
import typing

from lynxlanding.membership import entry, node_info, revision_report


class DigestEntry(typing.NamedTuple):
    """Heartbeat and versions that the sender knows of one incarnation.

    A named tuple, since an exchange of scope ``wide`` creates one for every node of the fleet.

    Parameters
    ----------
    heartbeat : int
        Highest heartbeat.
    place_version, wide_version : int
        Highest version in each scope; ``place_version`` is 0 in exchanges of scope ``wide``.
    """

    heartbeat: int
    place_version: int
    wide_version: int


@dataclasses.dataclass(slots=True, frozen=True)
class NodeDelta:
    """State of one incarnation that the receiver is missing.

    Parameters
    ----------
    token : int
        Token of the incarnation.
    info : NodeInfo or None
        Set only if the receiver does not know the incarnation.
    heartbeat : int
        Highest heartbeat.
    place_version, wide_version : int
        Versions that the receiver records after it has merged the entries.
    entries : list of Entry
        Entries that the receiver is missing, in order of version within each scope.
    """

    token: int
    info: node_info.NodeInfo | None
    heartbeat: int
    place_version: int
    wide_version: int
    entries: list[entry.Entry]


@dataclasses.dataclass(slots=True, frozen=True)
class ExchangeRequest:
    """Starts an exchange.

    Parameters
    ----------
    sender : NodeInfo
        The node that starts the exchange.
    scope : {"place", "wide"}
        ``place`` compares all entries of the nodes of one data centre, ``wide`` the wide entries
        of all nodes.
    digest : dict of int to DigestEntry
        State known to the sender, by token.
    revision_report : RevisionReport or None
        Configuration revision that the sender holds.
    """

    sender: node_info.NodeInfo
    scope: str
    digest: dict[int, DigestEntry]
    revision_report: revision_report.RevisionReport | None


@dataclasses.dataclass(slots=True, frozen=True)
class ExchangeResponse:
    """Response to an ``ExchangeRequest``.

    Parameters
    ----------
    sender : NodeInfo
        The node that responds.
    scope : {"place", "wide"}
        Scope of the response: that of the request, but always ``wide`` between data centres.
    newer : dict of int to DigestEntry
        Heartbeats that are newer on the responder, for incarnations without newer entries.
    deltas : list of NodeDelta
        State that the requester is missing.
    wanted : dict of int to DigestEntry
        State known to the responder of the incarnations that it requests entries of.
    revision_report : RevisionReport or None
        Configuration revision that the responder holds.
    """

    sender: node_info.NodeInfo
    scope: str
    newer: dict[int, DigestEntry]
    deltas: list[NodeDelta]
    wanted: dict[int, DigestEntry]
    revision_report: revision_report.RevisionReport | None


@dataclasses.dataclass(slots=True, frozen=True)
class ExchangePush:
    """Completes an exchange with the state that the responder requested."""

    sender: node_info.NodeInfo
    deltas: list[NodeDelta]
