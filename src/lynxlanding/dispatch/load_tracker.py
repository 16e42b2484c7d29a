"""Tracks the requests in flight at each endpoint."""

import dataclasses

# Peers report several times a second; older counts no longer describe the endpoint.
PEER_REPORT_LIFETIME_S = 1.5
# A load reported by an endpoint is taken into account for this long.
REPORTED_LOAD_LIFETIME_S = 0.4


@dataclasses.dataclass(slots=True)
class _ReportedLoad:
    load: int
    received_at: float


@dataclasses.dataclass(slots=True, frozen=True)
class AgedLoad:
    """Running and waiting requests that an endpoint has reported, and the age of the report."""

    load: int
    age_s: float


@dataclasses.dataclass(slots=True)
class _PeerCounts:
    counts: dict
    received_at: float


class LoadTracker:
    """Combines this node's counts, the counts of its peers and the loads reported by endpoints.

    Endpoints report their load only in responses, so between two responses the counts of the
    nodes are more recent than the endpoint's own report.
    """

    def __init__(self):
        self._own = {}
        self._reported = {}
        self._peers = {}
        self._peer_sums = {}
        self._arrival_sum = 0.0

    @property
    def own_counts(self):
        """Requests in flight from this node by endpoint id; endpoints without any are absent."""
        return self._own

    def begin(self, endpoint_id):
        """Count a request that is sent to the endpoint."""
        self._own[endpoint_id] = self._own.get(endpoint_id, 0) + 1

    def end(self, endpoint_id):
        """Stop counting a request that has ended."""
        remaining = self._own.get(endpoint_id, 0) - 1
        if remaining > 0:
            self._own[endpoint_id] = remaining
            return
        self._own.pop(endpoint_id, None)

    def record_reported_load(self, endpoint_id, load, now):
        """Record the running and waiting requests that an endpoint reports."""
        self._reported[endpoint_id] = _ReportedLoad(load, now)

    def replace_peer_counts(self, peer_id, counts, now):
        """Replace the counts of a peer; ``counts`` maps endpoint ids to requests in flight."""
        self.remove_peer(peer_id)
        self._peers[peer_id] = _PeerCounts(dict(counts), now)
        self._arrival_sum += now
        for endpoint_id, count in counts.items():
            self._peer_sums[endpoint_id] = self._peer_sums.get(endpoint_id, 0) + count

    def replace_digest_counts(self, gatherer_id, member_ids, counts, now):
        """Replace the sum of the counts of a gatherer's members.

        Parameters
        ----------
        gatherer_id : str
            The gatherer.
        member_ids : list of str
            Nodes whose counts are part of the sum and no longer count by themselves.
        counts : dict of str to int
            Requests in flight of all members by endpoint id.
        now : float
            Monotonic seconds.
        """
        for member_id in member_ids:
            self.remove_peer(member_id)
        self.replace_peer_counts(("digest", gatherer_id), counts, now)

    def remove_peer(self, peer_id):
        """Remove the counts of a peer."""
        removed = self._peers.pop(peer_id, None)
        if removed is None:
            return
        self._arrival_sum -= removed.received_at
        for endpoint_id, count in removed.counts.items():
            remaining = self._peer_sums[endpoint_id] - count
            if remaining > 0:
                self._peer_sums[endpoint_id] = remaining
                continue
            del self._peer_sums[endpoint_id]

    def expire_peers(self, now):
        """Remove the counts of peers whose last report is too old."""
        for peer_id, report in list(self._peers.items()):
            if now - report.received_at > PEER_REPORT_LIFETIME_S:
                self.remove_peer(peer_id)

    def forget(self, endpoint_id):
        """Discard the load that an endpoint has reported."""
        self._reported.pop(endpoint_id, None)

    def others_count(self, endpoint_id):
        """Return the requests in flight of the other nodes, as of their reports."""
        return self._peer_sums.get(endpoint_id, 0)

    def others_age_s(self, now):
        """Return the mean age of the reports and digests of the other nodes, in seconds."""
        if not self._peers:
            return 0.0
        return max(0.0, now - self._arrival_sum / len(self._peers))

    def reported_load(self, endpoint_id, now):
        """Return the ``AgedLoad`` that an endpoint has reported recently, or None."""
        reported = self._reported.get(endpoint_id)
        if reported is None or now - reported.received_at > REPORTED_LOAD_LIFETIME_S:
            return None
        return AgedLoad(reported.load, now - reported.received_at)

    def estimate(self, endpoint_id, now):
        """Return the estimated number of running and queued requests at the endpoint."""
        counted = self._own.get(endpoint_id, 0) + self._peer_sums.get(endpoint_id, 0)
        reported = self._reported.get(endpoint_id)
        if reported is None or now - reported.received_at > REPORTED_LOAD_LIFETIME_S:
            return counted
        return max(counted, reported.load)
