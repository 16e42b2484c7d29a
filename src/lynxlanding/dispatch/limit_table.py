"""Limits that endpoints state on the rate of requests from all nodes together."""

from lynxlanding.dispatch import limit_statement


class LimitTable:
    """What endpoints have stated in their responses to this node; performs no I/O.

    Request threads read and write it directly: each call is one step that cannot be interrupted.

    A limit does not expire, since it keeps away the requests whose responses would confirm it. It
    ends with a response that does not state it, and with the incarnation of the endpoint.

    Parameters
    ----------
    node_id : str
        Id of this node.
    """

    def __init__(self, node_id):
        self._node_id = node_id
        self._own = {}

    @property
    def limited_count(self):
        """Number of endpoints with a limit."""
        return sum(1 for endpoint_id in self._own if self.limit_per_s(endpoint_id) is not None)

    def limit_per_s(self, endpoint_id):
        """Return the requests a second that the endpoint takes; None if it states no limit."""
        statement = self._own.get(endpoint_id)
        return None if statement is None else statement.limit_per_s

    def record_response(self, record, limit_per_s, sent_at, now):
        """Record the limit in a response of an endpoint, or that it states none.

        Responses on different connections may arrive in another order than the endpoint has
        written them. Unless the request was sent after the known limit had arrived, the response
        may be older, and the lower limit holds.

        Parameters
        ----------
        record : EndpointRecord
            Incarnation that has responded.
        limit_per_s : float or None
            Limit in the response; None if it states none.
        sent_at, now : float
            Times at which the request was sent and the response arrived, monotonic seconds.

        Returns
        -------
        LimitChange or None
            The change of the limit in force, if there is one.
        """
        endpoint_id = record.endpoint_id
        known = self._own.get(endpoint_id)
        if known is not None and known.started_ms != record.started_ms:
            known = None
        known_limit_per_s = None if known is None else known.limit_per_s
        if known_limit_per_s is not None and sent_at < known.stated_at:
            is_lower = limit_per_s is not None and limit_per_s <= known_limit_per_s
            if not is_lower:
                return None
        if limit_per_s is None and known is None:
            self._own.pop(endpoint_id, None)
            return None
        stated_at = sent_at if limit_per_s is None else now
        self._own[endpoint_id] = limit_statement.LimitStatement(
            record.started_ms, limit_per_s, stated_at
        )
        if limit_per_s == known_limit_per_s:
            return None
        return limit_statement.LimitChange(
            endpoint_id, limit_per_s, known_limit_per_s, self._node_id, now - stated_at
        )

    def forget(self, endpoint_id):
        """Discard what an incarnation that has ended has stated."""
        self._own.pop(endpoint_id, None)
