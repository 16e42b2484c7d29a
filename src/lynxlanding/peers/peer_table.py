"""Table of the other nodes and their liveness."""

import dataclasses

from lynxlanding.handover import helper_choice
from lynxlanding.peers import node_key, protocol

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
    state_sequence : int
        Sequence number of the report, also one in a digest, that the state above is from.
    incarnation_tag : int or None
        Short form of the incarnation, as in digests; None before the first report.
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
    state_sequence: int = 0
    incarnation_tag: int | None = None


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
        self._ids_by_key = {node_key.hash_node_id(node_id): node_id}
        self._ambiguous_keys = set()
        self._digests = {}

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
            self._add(Peer(node_id, address, last_listed_at=now, protocol_version=protocol_version))
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
            self._add(peer)
        is_silent = peer.last_report_at is None or now - peer.last_report_at > LIVENESS_TIMEOUT_S
        # Incarnations are taken from the sender's clock, which may have been set back before a
        # restart. A silent node is therefore accepted with a lower incarnation.
        is_restarted = is_silent and report.incarnation != peer.incarnation
        is_newer = (report.incarnation, report.sequence) > (peer.incarnation, peer.sequence)
        if not is_newer and not is_restarted:
            return False
        is_other_incarnation = report.incarnation != peer.incarnation
        if is_other_incarnation:
            peer.incarnation_tag = node_key.tag_incarnation(report.incarnation)
        peer.incarnation = report.incarnation
        peer.sequence = report.sequence
        peer.last_report_at = max(now, peer.last_report_at or 0.0)
        if report.sequence < peer.state_sequence and not is_other_incarnation:
            # A digest has told the state of a later report.
            return True
        peer.state_sequence = report.sequence
        peer.address = report.address
        peer.configuration_version = report.configuration_version
        peer.is_store_unavailable = report.is_store_unavailable
        peer.callers_address = report.callers_address
        peer.takes_requests = report.takes_requests
        peer.is_cut = report.is_cut
        peer.requests = sum(report.loads.values())
        peer.protocol_version = report.protocol_version
        return True

    def record_digest(self, digest, now):
        """Record a digest; return whether it is newer than the last one of its gatherer.

        Nodes that are not known yet are left out, since a digest does not tell their addresses.
        """
        known = self._digests.get(digest.node_id)
        version = (digest.incarnation, digest.sequence)
        if known is not None and version <= known[0] and now - known[1] <= LIVENESS_TIMEOUT_S:
            return False
        self._digests[digest.node_id] = (version, now)
        gatherer = self._peers.get(digest.node_id)
        if gatherer is not None:
            gatherer.last_report_at = now
        for member in digest.members:
            peer = self._record_heard(member.key, member.age_ms, now)
            if peer is not None:
                _update_state(peer, member)
        for key, age_ms in digest.heard.items():
            self._record_heard(key, age_ms, now)
        for key in digest.configuration_holders:
            peer = self._peers.get(self.find_node_id(key))
            if peer is not None:
                peer.configuration_version = digest.configuration_version
        return True

    def copy_addresses(self, node_ids, version):
        """Return the addresses of those nodes that serve copies of a version of the configuration.

        Parameters
        ----------
        node_ids : iterable of str
            Nodes to look at; those that are not known are left out.
        version : int
            Version of the configuration that the nodes must have in force, or a later one.
        """
        addresses = []
        for node_id in node_ids:
            peer = self._peers.get(node_id)
            if peer is None or peer.protocol_version < protocol.COPIES:
                continue
            if peer.configuration_version >= version:
                addresses.append(peer.address)
        return addresses

    def find_node_id(self, key):
        """Return the id of the node with a hash; None if it is not known, or not the only one."""
        return None if key in self._ambiguous_keys else self._ids_by_key.get(key)

    def has_ambiguous_key(self):
        """Return whether another node has the hash of this one, so that digests name neither."""
        return node_key.hash_node_id(self._node_id) in self._ambiguous_keys

    def live_node_ids(self, now, min_version=protocol.UNSTATED):
        """Return the ids of the live nodes of a protocol version or later, including this one."""
        nodes = [self._node_id]
        for peer in self._peers.values():
            if peer.last_report_at is None or now - peer.last_report_at > LIVENESS_TIMEOUT_S:
                continue
            if peer.protocol_version >= min_version:
                nodes.append(peer.node_id)
        return nodes

    def known_node_ids(self):
        """Return the ids of all nodes that may be live, including this one.

        Nodes that have not been heard, or only listed in the store, count until they expire.
        """
        return [self._node_id, *list(self._peers)]

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

    def target_addresses(self, now, min_version=protocol.UNSTATED, max_version=protocol.CURRENT):
        """Return the addresses to send reports to; drop the peers that have expired.

        Only peers whose protocol version is within the bounds are included; the versions after
        this node's own count as its own.
        """
        addresses = []
        for node_id, peer in list(self._peers.items()):
            last_activity_at = max(peer.last_listed_at, peer.last_report_at or 0.0)
            if now - last_activity_at > PEER_EXPIRY_S:
                del self._peers[node_id]
                self._forget_key(node_id)
                continue
            if min_version <= min(peer.protocol_version, protocol.CURRENT) <= max_version:
                addresses.append(peer.address)
        return addresses

    def _add(self, peer):
        self._peers[peer.node_id] = peer
        key = node_key.hash_node_id(peer.node_id)
        if self._ids_by_key.setdefault(key, peer.node_id) != peer.node_id:
            self._ambiguous_keys.add(key)

    def _forget_key(self, node_id):
        key = node_key.hash_node_id(node_id)
        if key not in self._ambiguous_keys:
            self._ids_by_key.pop(key, None)

    def _record_heard(self, key, age_ms, now):
        """Record that a gatherer has heard a node; return the ``Peer`` or None if not known."""
        peer = self._peers.get(self.find_node_id(key))
        if peer is not None:
            peer.last_report_at = max(now - age_ms / 1000, peer.last_report_at or 0.0)
        return peer


def _update_state(peer, member):
    """Take the state of a peer from its entry in a digest."""
    is_known_incarnation = member.incarnation_tag == peer.incarnation_tag
    if is_known_incarnation and member.sequence <= peer.state_sequence:
        return
    if not is_known_incarnation:
        # The node has restarted, perhaps with its clock set back; its next report is accepted.
        peer.incarnation = 0
        peer.sequence = 0
        peer.incarnation_tag = member.incarnation_tag
    peer.state_sequence = member.sequence
    peer.requests = member.requests
    peer.is_store_unavailable = member.is_store_unavailable
    peer.takes_requests = member.takes_requests
    peer.is_cut = member.is_cut
    if member.callers_port:
        host = peer.address.rpartition(":")[0]
        peer.callers_address = f"{host}:{member.callers_port}"
