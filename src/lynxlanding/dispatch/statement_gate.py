"""Keeps the requests of a node to what endpoints state about themselves."""

from lynxlanding.dispatch import dispatch_decision, request_allowance, urgency_gate


class StatementGate:
    """Decides which endpoints may get a request of this node; performs no I/O.

    Parameters
    ----------
    limits : LimitTable
        Limits in force.
    allowance : RequestAllowance
        This node's part of these limits.
    rejections : RejectionTable
        Endpoints that want no requests from this node for a time.
    """

    def __init__(self, limits, allowance, rejections):
        self._limits = limits
        self._allowance = allowance
        self._rejections = rejections
        self._urgency_gate = urgency_gate.UrgencyGate()

    @property
    def limits(self):
        """``LimitTable`` of the limits in force."""
        return self._limits

    @property
    def allowance(self):
        """``RequestAllowance``: this node's part of the limits."""
        return self._allowance

    def keep_incarnation(self, record):
        """Discard what earlier incarnations of an endpoint have stated."""
        self._limits.keep_incarnation(record)
        self._rejections.keep_incarnation(record)

    def may_send(self, record, now, *, is_counted=False):
        """Return whether this node may send a request to the endpoint, and count it.

        ``is_counted`` says whether the request is already counted in the allowance. A cold engine
        counts requests when they arrive, so one that was delayed before it is sent counts again.
        """
        if self._rejections.remaining_s(record, now) > 0:
            return False
        if record.endpoint_id in self._limits.cold_engines.cold_ids:
            is_counted = False
        return is_counted or self._allowance.try_consume(record.endpoint_id, now)

    def select_accepting(self, records, now):
        """Return the endpoints that have not rejected this node for a time."""
        if self._rejections.is_empty:
            return records
        return [record for record in records if self._rejections.remaining_s(record, now) == 0]

    def shortest_rejection_s(self, records, now):
        """Return the time until the first of the endpoints takes requests again, in seconds."""
        return min(self._rejections.remaining_s(record, now) for record in records)

    def select_sendable(self, records, now):
        """Return the endpoints to which this node may send a request now."""
        records = self.select_accepting(records, now)
        limited_ids = self._limits.limited_ids
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
        limited_ids = self._limits.limited_ids
        if not limited_ids or query.excluded:
            return True
        supply_per_s = 0.0
        for record in self.select_accepting(records, now):
            if record.endpoint_id not in limited_ids:
                return True
            supply_per_s += self._allowance.rate_per_s(record.endpoint_id, now)
        key = (query.service, query.model)
        return self._urgency_gate.admits(key, query.priority, supply_per_s, now)

    def describe_limits(self, records):
        """Return the reason of a refusal if none of the endpoints takes another request."""
        cold_ids = self._limits.cold_engines.cold_ids
        if any(record.endpoint_id in cold_ids for record in records):
            return dispatch_decision.ALL_LIMITED_SOME_COLD
        return dispatch_decision.ALL_LIMITED

    def retry_after_s(self, records):
        """Return the time until any node may send a request to one of the endpoints, in seconds.

        A caller's retry reaches any node, so it follows from the limits as a whole.
        """
        total_per_s = 0.0
        for record in records:
            limit_per_s = self._limits.limit_per_s(record.endpoint_id) or 0.0
            total_per_s += max(limit_per_s, request_allowance.MIN_RATE_PER_S)
        return 1.0 / total_per_s
