"""What the other nodes have reported."""

from lynxlanding.peers import report_codec


class PeerView:
    """Translates reports, which name endpoints by hashes, and remembers the work of each peer.

    Parameters
    ----------
    stalls : StallBoard
        Told of the stalls that peers have seen.
    """

    def __init__(self, stalls):
        self._stalls = stalls
        self._endpoint_ids = {}
        self._busy_groups = {}
        self._loading = {}
        self._has_traffic = False

    @property
    def has_traffic(self):
        """Whether a peer knows of a caller's request."""
        return self._has_traffic

    def use_endpoints(self, endpoint_ids):
        """Use the ids of all known endpoints."""
        if set(self._endpoint_ids.values()) == set(endpoint_ids):
            return
        ids = {}
        for endpoint_id in endpoint_ids:
            ids[report_codec.endpoint_key(endpoint_id)] = endpoint_id
        self._endpoint_ids = ids

    def apply(self, report, now):
        """Apply a report; return the sender's requests in flight by endpoint id."""
        self._has_traffic = self._has_traffic or report.has_traffic
        self._busy_groups[report.node_id] = report.busy_groups
        self._loading[report.node_id] = report.loading
        for key in report.stalled:
            endpoint_id = self._endpoint_ids.get(key)
            if endpoint_id is not None:
                self._stalls.note_peer_stall(endpoint_id, now)
        counts = {}
        for key, requests in report.loads.items():
            endpoint_id = self._endpoint_ids.get(key)
            if endpoint_id is not None:
                counts[endpoint_id] = requests
        return counts

    def loading(self, live_nodes):
        """Return the engines that load weights by the orders of other nodes.

        Parameters
        ----------
        live_nodes : list of str
            Nodes that are alive; what others reported is forgotten.
        """
        endpoint_ids = set()
        for node_id, keys in list(self._loading.items()):
            if node_id not in live_nodes:
                del self._loading[node_id]
                continue
            for key in keys:
                endpoint_id = self._endpoint_ids.get(key)
                if endpoint_id is not None:
                    endpoint_ids.add(endpoint_id)
        return endpoint_ids

    def add_busy_groups(self, own, live_nodes):
        """Return the groups that all nodes keep busy, by model.

        Parameters
        ----------
        own : dict of str to float
            Groups that this node keeps busy.
        live_nodes : list of str
            Nodes that are alive; what others reported is forgotten.
        """
        total = dict(own)
        for node_id, groups in list(self._busy_groups.items()):
            if node_id not in live_nodes:
                del self._busy_groups[node_id]
                continue
            for model, busy in groups.items():
                total[model] = total.get(model, 0.0) + busy
        return total
