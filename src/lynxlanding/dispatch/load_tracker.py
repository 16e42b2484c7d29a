"""Requests in flight at each endpoint, by this node, its peers and the endpoints' own word."""

import dataclasses

# Peers report several times a second; an older report no longer describes the endpoint.
PEER_REPORT_LIFETIME_S = 1.5
# A load stated by an endpoint is compared with the counts for this long.
STATED_LOAD_LIFETIME_S = 0.4


@dataclasses.dataclass(slots=True)
class _Stated:
    load: int
    at: float


@dataclasses.dataclass(slots=True)
class _PeerCounts:
    counts: dict
    at: float


class LoadBook:
    """Counts of requests in flight.

    Endpoints state their load only on responses, so between two responses the counts of the nodes
    are better news than the endpoint's own.
    """

    def __init__(self):
        self._own = {}
        self._stated = {}
        self._peers = {}
        self._peer_sums = {}

    @property
    def own(self):
        """Own requests in flight by endpoint id; endpoints without any are absent."""
        return self._own

    def begin(self, endpoint_id):
        """Count a request that is sent to the endpoint."""
        self._own[endpoint_id] = self._own.get(endpoint_id, 0) + 1

    def end(self, endpoint_id):
        """Count a request that has ended."""
        left = self._own.get(endpoint_id, 0) - 1
        if left > 0:
            self._own[endpoint_id] = left
            return
        self._own.pop(endpoint_id, None)

    def state(self, endpoint_id, load, now):
        """Record running and waiting requests as stated by the endpoint."""
        self._stated[endpoint_id] = _Stated(load, now)

    def replace_peer(self, peer_id, counts, now):
        """Replace the counts of a peer; ``counts`` maps endpoint ids to requests."""
        self.drop_peer(peer_id)
        self._peers[peer_id] = _PeerCounts(dict(counts), now)
        for endpoint_id, count in counts.items():
            self._peer_sums[endpoint_id] = self._peer_sums.get(endpoint_id, 0) + count

    def drop_peer(self, peer_id):
        """Forget the counts of a peer."""
        known = self._peers.pop(peer_id, None)
        if known is None:
            return
        for endpoint_id, count in known.counts.items():
            left = self._peer_sums[endpoint_id] - count
            if left > 0:
                self._peer_sums[endpoint_id] = left
                continue
            del self._peer_sums[endpoint_id]

    def expire(self, now):
        """Forget peers that have been silent for too long."""
        for peer_id, known in list(self._peers.items()):
            if now - known.at > PEER_REPORT_LIFETIME_S:
                self.drop_peer(peer_id)

    def forget(self, endpoint_id):
        """Forget what an endpoint has stated."""
        self._stated.pop(endpoint_id, None)

    def estimate(self, endpoint_id, now):
        """Return the requests that run or wait at the endpoint."""
        counted = self._own.get(endpoint_id, 0) + self._peer_sums.get(endpoint_id, 0)
        stated = self._stated.get(endpoint_id)
        if stated is None or now - stated.at > STATED_LOAD_LIFETIME_S:
            return counted
        return max(counted, stated.load)
