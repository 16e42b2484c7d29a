"""Keeps the requests of a node to what endpoints state about themselves."""

from lynxlanding.dispatch import request_allowance, urgency_gate


class StatementGate:
    """Decides which endpoints may get a request of this node; performs no I/O.

    Parameters
    ----------
    table : LimitTable
        Limits in force.
    allowance : RequestAllowance
        This node's part of these limits.
    """

    def __init__(self, table, allowance):
        self._table = table
        self._allowance = allowance
        self._urgency_gate = urgency_gate.UrgencyGate()

    @property
    def table(self):
        """``LimitTable`` of the limits in force."""
        return self._table

    @property
    def allowance(self):
        """``RequestAllowance``: this node's part of the limits."""
        return self._allowance

    def select_sendable(self, records, now):
        """Return the endpoints to which this node may send a request now."""
        limited_ids = self._table.limited_ids
        if not limited_ids:
            return records
        found = []
        for record in records:
            is_limited = record.endpoint_id in limited_ids
            if not is_limited or self._allowance.wait_s(record.endpoint_id, now) == 0:
                found.append(record)
        return found

    def admits(self, query, records, now):
        """Return whether more urgent requests leave room for a first attempt.

        This matters only if every endpoint that could serve it has a limit.

        Parameters
        ----------
        query : DispatchQuery
            Request. Retries and resumed streams are admitted.
        records : sequence of EndpointRecord
            Endpoints that could serve it, whatever their load.
        now : float
            Monotonic seconds.
        """
        limited_ids = self._table.limited_ids
        if not limited_ids or query.excluded:
            return True
        supply_per_s = 0.0
        for record in records:
            if record.endpoint_id not in limited_ids:
                return True
            supply_per_s += self._allowance.rate_per_s(record.endpoint_id, now)
        key = (query.service, query.model)
        return self._urgency_gate.admits(key, query.priority, supply_per_s, now)

    def retry_after_s(self, records):
        """Return the time until any node may send a request to one of the endpoints, in seconds.

        A caller's retry reaches any node, so it follows from the limits as a whole.
        """
        total_per_s = 0.0
        for record in records:
            limit_per_s = self._table.limit_per_s(record.endpoint_id) or 0.0
            total_per_s += max(limit_per_s, request_allowance.MIN_RATE_PER_S)
        return 1.0 / total_per_s
