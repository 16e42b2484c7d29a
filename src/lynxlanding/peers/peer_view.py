"""Combined view of the reports of the other nodes."""

from lynxlanding.dispatch import cold_statement, limit_statement, load_tracker, stated_leavings
from lynxlanding.fleet import endpoint_key


class PeerView:
    """Resolves the endpoint hashes in reports and tracks the work of each peer.

    This covers the groups that a peer keeps busy and the engines that load weights on its orders.

    Parameters
    ----------
    stall_tracker : StallTracker
        Receives the stalls reported by peers.
    """

    def __init__(self, stall_tracker):
        self._stall_tracker = stall_tracker
        self._endpoint_ids_by_hash = {}
        self._busy_groups_by_node = {}
        self._loading_by_node = {}
        self._digest_times = {}
        self._has_traffic = False

    @property
    def has_traffic(self):
        """Whether a peer has reported that a caller's request has arrived at any node."""
        return self._has_traffic

    def set_endpoint_ids(self, endpoint_ids):
        """Set the ids of all known endpoints, which resolve the hashes in reports."""
        if set(self._endpoint_ids_by_hash.values()) == set(endpoint_ids):
            return
        endpoint_ids_by_hash = {}
        for endpoint_id in endpoint_ids:
            endpoint_ids_by_hash[endpoint_key.hash_endpoint_id(endpoint_id)] = endpoint_id
        self._endpoint_ids_by_hash = endpoint_ids_by_hash

    def apply(self, report, now):
        """Apply a report; return the sender's requests in flight by endpoint id.

        Hashes of unknown endpoints are ignored. Returns None if the sender's work is part of a
        gatherer's digest.
        """
        self._has_traffic = self._has_traffic or report.has_traffic
        for endpoint_id in self._resolve(report.stalled):
            self._stall_tracker.record_peer_stall(endpoint_id, now)
        if report.gatherers:
            self._forget_work(report.node_id)
            return None
        self._busy_groups_by_node[report.node_id] = report.busy_groups
        self._loading_by_node[report.node_id] = report.loading
        return self._resolve_loads(report.loads)

    def apply_digest(self, digest, member_ids, own, now):
        """Apply a digest; return the members' requests in flight by endpoint id.

        Parameters
        ----------
        digest : ReportDigest
            The digest.
        member_ids : list of str
            Ids of the known nodes whose work is part of it.
        own : OwnContribution
            This node's own part, which is left out.
        now : float
            Arrival, in monotonic seconds.
        """
        self._has_traffic = self._has_traffic or digest.has_traffic
        for endpoint_id in self._resolve(digest.stalled):
            if endpoint_id not in own.stalled:
                self._stall_tracker.record_peer_stall(endpoint_id, now)
        for node_id in member_ids:
            self._forget_work(node_id)
        busy_groups = {}
        for model, groups in digest.busy_groups.items():
            busy_groups[model] = max(0.0, groups - own.busy_groups.get(model, 0.0))
        source = _digest_source(digest.node_id)
        self._busy_groups_by_node[source] = busy_groups
        own_loading = {endpoint_key.hash_endpoint_id(endpoint_id) for endpoint_id in own.loading}
        self._loading_by_node[source] = digest.loading - own_loading
        self._digest_times[source] = now
        loads = self._resolve_loads(digest.loads)
        for endpoint_id, requests in own.loads.items():
            remaining = loads.get(endpoint_id, 0) - requests
            if remaining > 0:
                loads[endpoint_id] = remaining
            else:
                loads.pop(endpoint_id, None)
        return loads

    def expire_digests(self, now):
        """Forget the work in digests that are too old; their members may be in others by now."""
        for source, received_at in list(self._digest_times.items()):
            if now - received_at > load_tracker.PEER_REPORT_LIFETIME_S:
                del self._digest_times[source]
                self._forget_work(source)

    def _forget_work(self, source):
        self._busy_groups_by_node.pop(source, None)
        self._loading_by_node.pop(source, None)

    def _resolve(self, endpoint_hashes):
        """Return the ids of the endpoints that are known."""
        endpoint_ids = []
        for endpoint_hash in endpoint_hashes:
            endpoint_id = self._endpoint_ids_by_hash.get(endpoint_hash)
            if endpoint_id is not None:
                endpoint_ids.append(endpoint_id)
        return endpoint_ids

    def _resolve_loads(self, requests_by_hash):
        loads = {}
        for endpoint_hash, requests in requests_by_hash.items():
            endpoint_id = self._endpoint_ids_by_hash.get(endpoint_hash)
            if endpoint_id is not None:
                loads[endpoint_id] = requests
        return loads

    def resolve_limits(self, report, now):
        """Return the ``EndpointStatement``s of a report, with times by this node's clock.

        Hashes of unknown endpoints are ignored.
        """
        statements = []
        for limit in report.limits:
            endpoint_id = self._endpoint_ids_by_hash.get(limit.endpoint_hash)
            if endpoint_id is None:
                continue
            statement = limit_statement.LimitStatement(
                limit.started_ms, limit.limit_per_s, now - limit.age_ms / 1000
            )
            statements.append(limit_statement.EndpointStatement(endpoint_id, statement))
        return statements

    def resolve_leavings(self, report, now):
        """Return the ``LeavingStatement``s of a report, with times by this node's clock.

        Hashes of unknown endpoints are ignored; reports repeat them.
        """
        statements = []
        for leaving in report.leavings:
            endpoint_id = self._endpoint_ids_by_hash.get(leaving.endpoint_hash)
            if endpoint_id is None:
                continue
            statements.append(
                stated_leavings.LeavingStatement(
                    endpoint_id, leaving.started_ms, now - leaving.age_ms / 1000
                )
            )
        return statements

    def resolve_cold(self, report, now):
        """Return the ``ColdStatement``s of a report, with times by this node's clock.

        Hashes of unknown endpoints are ignored; reports repeat them.
        """
        statements = []
        for cold in report.cold:
            endpoint_id = self._endpoint_ids_by_hash.get(cold.endpoint_hash)
            if endpoint_id is None:
                continue
            stated_at = now - cold.age_ms / 1000
            statements.append(
                cold_statement.ColdStatement(
                    endpoint_id, cold.started_ms, stated_at + cold.cold_ms / 1000, stated_at
                )
            )
        return statements

    def resolve_ends(self, prompts):
        """Return endpoint id and start of the endpoints whose end a report states.

        Parameters
        ----------
        prompts : PromptStatements
            Statements of the report, on this node's clock. Ends of unknown endpoints, and of those
            that have sent something to this node since, are ignored.
        """
        ended = []
        for end in prompts.ends:
            endpoint_id = self._endpoint_ids_by_hash.get(end.endpoint_key)
            if endpoint_id is None:
                continue
            if self._stall_tracker.last_event_at(endpoint_id) <= end.ended_at:
                ended.append((endpoint_id, end.started_ms))
        return ended

    def last_event_at_by_key(self, endpoint_key):
        """Return when an endpoint last sent data to this node, by the hash of its id."""
        endpoint_id = self._endpoint_ids_by_hash.get(endpoint_key)
        return 0.0 if endpoint_id is None else self._stall_tracker.last_event_at(endpoint_id)

    def loading_engines(self, live_nodes):
        """Return the ids of the engines that are loading weights on the orders of other nodes.

        Parameters
        ----------
        live_nodes : list of str
            Ids of the live nodes; the reports of all others are dropped.
        """
        endpoint_ids = set()
        self._keep_live(self._loading_by_node, live_nodes)
        for endpoint_hashes in self._loading_by_node.values():
            endpoint_ids.update(self._resolve(endpoint_hashes))
        return endpoint_ids

    def total_busy_groups(self, own, live_nodes):
        """Return the number of groups that all nodes keep busy, by model.

        Parameters
        ----------
        own : dict of str to float
            Groups that this node keeps busy, by model.
        live_nodes : list of str
            Ids of the live nodes; the reports of all others are dropped.
        """
        total = dict(own)
        self._keep_live(self._busy_groups_by_node, live_nodes)
        for groups in self._busy_groups_by_node.values():
            for model, group_count in groups.items():
                total[model] = total.get(model, 0.0) + group_count
        return total

    def _keep_live(self, values_by_source, live_nodes):
        """Drop the values of nodes that are not live; those of digests expire by time."""
        live = set(live_nodes)
        for source in list(values_by_source):
            if source not in live and source not in self._digest_times:
                del values_by_source[source]


def _digest_source(gatherer_id):
    """Return the key of what a digest sums up, which is no node id."""
    return ("digest", gatherer_id)
