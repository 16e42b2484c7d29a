"""Messages of one exchange: request, response and, if needed, a push."""

import dataclasses
import typing

from lynxlanding.membership import entry, mark, node_info


class DigestEntry(typing.NamedTuple):
    """What the sender knows about one incarnation.

    A tuple, since an exchange of scope ``wide`` builds one for every node of the fleet.

    Parameters
    ----------
    heartbeat : int
        Highest heartbeat.
    place_version, wide_version : int
        Highest version in each scope; the place's is 0 in exchanges of scope ``wide``.
    """

    heartbeat: int
    place_version: int
    wide_version: int


@dataclasses.dataclass(slots=True, frozen=True)
class NodeDelta:
    """What the receiver lacks about one incarnation.

    Parameters
    ----------
    token : int
        Token of the incarnation.
    info : NodeInfo or None
        Identity, if the receiver does not know it.
    heartbeat : int
        Highest heartbeat.
    place_version, wide_version : int
        Versions that the receiver has reached once it has merged the entries.
    entries : list of Entry
        Newer entries in order of version.
    """

    token: int
    info: node_info.NodeInfo | None
    heartbeat: int
    place_version: int
    wide_version: int
    entries: list[entry.Entry]


@dataclasses.dataclass(slots=True, frozen=True)
class ExchangeRequest:
    """Opens an exchange.

    Parameters
    ----------
    sender : NodeInfo
        The node that opens the exchange.
    scope : {"place", "wide"}
        ``place`` compares all entries of the nodes of one data centre, ``wide`` the wide entries
        of all nodes.
    digest : dict of int to DigestEntry
        What the sender knows, by token.
    mark : Mark or None
        Revision that the sender holds.
    """

    sender: node_info.NodeInfo
    scope: str
    digest: dict[int, DigestEntry]
    mark: mark.Mark | None


@dataclasses.dataclass(slots=True, frozen=True)
class ExchangeResponse:
    """Answers an exchange.

    Parameters
    ----------
    sender : NodeInfo
        The node that answers.
    scope : {"place", "wide"}
        Scope of the request.
    newer : dict of int to DigestEntry
        Incarnations of which only the heartbeat is newer here.
    deltas : list of NodeDelta
        What the requester lacks.
    wanted : dict of int to DigestEntry
        What the responder knows about the incarnations that it lacks entries of.
    mark : Mark or None
        Revision that the responder holds.
    """

    sender: node_info.NodeInfo
    scope: str
    newer: dict[int, DigestEntry]
    deltas: list[NodeDelta]
    wanted: dict[int, DigestEntry]
    mark: mark.Mark | None


@dataclasses.dataclass(slots=True, frozen=True)
class ExchangePush:
    """Completes an exchange with what the responder wanted."""

    sender: node_info.NodeInfo
    deltas: list[NodeDelta]
