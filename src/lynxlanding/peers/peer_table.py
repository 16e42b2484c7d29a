"""Which nodes are alive, by the reports they send."""

import dataclasses

# A node that has sent nothing for this long is not counted as alive; reports come at least every
# 0.4 s, and a datagram may be lost.
SILENCE_S = 1.3
# A node that was never heard is sent reports for this long after it was found in the store.
FORGET_S = 30.0


@dataclasses.dataclass(slots=True)
class Peer:
    """One other node."""

    node_id: str
    address: str
    incarnation: int = 0
    sequence: int = 0
    heard_at: float | None = None
    known_at: float = 0.0
    configuration_version: int = 0


class PeerTable:
    """Other nodes, without I/O.

    Parameters
    ----------
    node_id : str
        This node.
    """

    def __init__(self, node_id):
        self._node_id = node_id
        self._peers = {}

    @property
    def peers(self):
        """Peers by node id."""
        return self._peers

    def note_registered(self, node_id, address, now):
        """Record that a node is registered in the store; return whether it is new."""
        if node_id == self._node_id:
            return False
        known = self._peers.get(node_id)
        if known is None:
            self._peers[node_id] = Peer(node_id, address, known_at=now)
            return True
        known.known_at = now
        if known.heard_at is None or now - known.heard_at > SILENCE_S:
            known.address = address
        return False

    def note_report(self, report, now):
        """Record a report; return whether it is news."""
        if report.node_id == self._node_id:
            return False
        peer = self._peers.get(report.node_id)
        if peer is None:
            peer = Peer(report.node_id, report.address, known_at=now)
            self._peers[report.node_id] = peer
        is_silent = peer.heard_at is None or now - peer.heard_at > SILENCE_S
        # Incarnations follow the sender's clock, which may have been set back before a restart.
        is_restarted = is_silent and report.incarnation != peer.incarnation
        is_newer = (report.incarnation, report.sequence) > (peer.incarnation, peer.sequence)
        if not is_newer and not is_restarted:
            return False
        peer.incarnation = report.incarnation
        peer.sequence = report.sequence
        peer.address = report.address
        peer.configuration_version = report.configuration_version
        peer.heard_at = now
        return True

    def live(self, now):
        """Return the ids of the nodes that are alive, including this one."""
        nodes = [self._node_id]
        for peer in self._peers.values():
            if peer.heard_at is not None and now - peer.heard_at <= SILENCE_S:
                nodes.append(peer.node_id)
        return nodes

    def targets(self, now):
        """Return the addresses that reports are sent to."""
        addresses = []
        for node_id, peer in list(self._peers.items()):
            last = max(peer.known_at, peer.heard_at or 0.0)
            if now - last > FORGET_S:
                del self._peers[node_id]
                continue
            addresses.append(peer.address)
        return addresses
