"""Table of the other nodes and their liveness."""

import dataclasses

from lynxlanding.handover import helper_choice
from lynxlanding.peers import protocol

# A node without a report for this long is not counted as live. Nodes send a report at least every
# 0.4 s, and datagrams may be lost.
LIVENESS_TIMEOUT_S = 1.3
# Reports are sent to a peer until this long after it was last listed in the store or last sent a
# report.
PEER_EXPIRY_S = 30.0


@dataclasses.dataclass(slots=True)
class Peer:
    """Another node.

    Parameters
    ----------
    node_id : str
        Id of the node.
    address : str
        ``host:port`` at which the node receives reports.
    incarnation, sequence : int
        Those of the last report.
    last_report_at : float or None
        Arrival of the last report, in monotonic seconds; None before the first report.
    last_listed_at : float
        Time at which the node was last listed in the store, in monotonic seconds; the time of its
        first report if it has not been listed since.
    configuration_version : int
        Version of the configuration in the last report.
    is_store_unavailable : bool
        Whether the store refused or did not answer the node as of the last report.
    callers_address : str
        ``host:port`` at which the node takes callers' requests.
    takes_requests : bool
        Whether the node takes requests of nodes that reach no endpoint.
    is_cut : bool
        Whether the node itself reaches no endpoint.
    requests : int
        Requests in flight from the node to endpoints.
    protocol_version : int
        Version of the protocol between nodes that the node speaks, as far as it has stated it.
    """

    node_id: str
    address: str
    incarnation: int = 0
    sequence: int = 0
    last_report_at: float | None = None
    last_listed_at: float = 0.0
    configuration_version: int = 0
    is_store_unavailable: bool = False
    callers_address: str = ""
    takes_requests: bool = False
    is_cut: bool = False
    requests: int = 0
    protocol_version: int = protocol.UNSTATED


class PeerTable:
    """Known peers, with no I/O of its own.

    Parameters
    ----------
    node_id : str
        Id of this node.
    """

    def __init__(self, node_id):
        self._node_id = node_id
        self._peers = {}

    @property
    def peers(self):
        """Peers by node id."""
        return self._peers

    def record_registration(self, node_id, address, now, protocol_version=protocol.UNSTATED):
        """Record a registration in the store; return whether the node was unknown."""
        if node_id == self._node_id:
            return False
        peer = self._peers.get(node_id)
        if peer is None:
            self._peers[node_id] = Peer(
                node_id, address, last_listed_at=now, protocol_version=protocol_version
            )
            return True
        peer.last_listed_at = now
        if peer.last_report_at is None or now - peer.last_report_at > LIVENESS_TIMEOUT_S:
            peer.address = address
            # Reports are more recent than registrations.
            peer.protocol_version = protocol_version
        return False

    def record_report(self, report, now):
        """Record a report; return whether it is newer than the last one of its sender."""
        if report.node_id == self._node_id:
            return False
        peer = self._peers.get(report.node_id)
        if peer is None:
            peer = Peer(report.node_id, report.address, last_listed_at=now)
            self._peers[report.node_id] = peer
        is_silent = peer.last_report_at is None or now - peer.last_report_at > LIVENESS_TIMEOUT_S
        # Incarnations are taken from the sender's clock, which may have been set back before a
        # restart. A silent node is therefore accepted with a lower incarnation.
        is_restarted = is_silent and report.incarnation != peer.incarnation
        is_newer = (report.incarnation, report.sequence) > (peer.incarnation, peer.sequence)
        if not is_newer and not is_restarted:
            return False
        peer.incarnation = report.incarnation
        peer.sequence = report.sequence
        peer.address = report.address
        peer.configuration_version = report.configuration_version
        peer.is_store_unavailable = report.is_store_unavailable
        peer.callers_address = report.callers_address
        peer.takes_requests = report.takes_requests
        peer.is_cut = report.is_cut
        peer.requests = sum(report.loads.values())
        peer.protocol_version = report.protocol_version
        peer.last_report_at = now
        return True

    def live_node_ids(self, now):
        """Return the ids of the live nodes, including this one."""
        nodes = [self._node_id]
        for peer in self._peers.values():
            if peer.last_report_at is not None and now - peer.last_report_at <= LIVENESS_TIMEOUT_S:
                nodes.append(peer.node_id)
        return nodes

    def count_live_by_version(self, now):
        """Return the number of live nodes, including this one, by protocol version."""
        counts = {protocol.CURRENT: 1}
        for peer in self._peers.values():
            if peer.last_report_at is None or now - peer.last_report_at > LIVENESS_TIMEOUT_S:
                continue
            counts[peer.protocol_version] = counts.get(peer.protocol_version, 0) + 1
        return counts

    def store_node_ids(self, now, *, is_own_store_unavailable):
        """Return the ids of the live nodes that the store answers, or all if it answers none.

        Work that needs the store is divided among these nodes.
        """
        nodes = []
        for node_id in self.live_node_ids(now):
            peer = self._peers.get(node_id)
            is_unavailable = is_own_store_unavailable if peer is None else peer.is_store_unavailable
            if not is_unavailable:
                nodes.append(node_id)
        return nodes or self.live_node_ids(now)

    def planning_node_ids(self, now, *, is_own_store_unavailable, is_own_cut):
        """Return the nodes that plan groups: those with a store that reach endpoints, if any."""
        store_nodes = self.store_node_ids(now, is_own_store_unavailable=is_own_store_unavailable)
        nodes = []
        for node_id in store_nodes:
            peer = self._peers.get(node_id)
            is_cut = is_own_cut if peer is None else peer.is_cut
            if not is_cut:
                nodes.append(node_id)
        return nodes or store_nodes

    def helpers(self, now):
        """Return the live nodes that take requests of others, as ``Helper`` objects."""
        found = []
        for peer in self._peers.values():
            if not peer.takes_requests or not peer.callers_address or peer.last_report_at is None:
                continue
            age_s = now - peer.last_report_at
            if age_s <= LIVENESS_TIMEOUT_S:
                found.append(
                    helper_choice.Helper(peer.node_id, peer.callers_address, peer.requests, age_s)
                )
        return found

    def target_addresses(self, now):
        """Return the addresses to send reports to; drop the peers that have expired."""
        addresses = []
        for node_id, peer in list(self._peers.items()):
            last_activity_at = max(peer.last_listed_at, peer.last_report_at or 0.0)
            if now - last_activity_at > PEER_EXPIRY_S:
                del self._peers[node_id]
                continue
            addresses.append(peer.address)
        return addresses
