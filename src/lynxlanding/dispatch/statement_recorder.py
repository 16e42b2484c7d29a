"""Records what endpoints state about themselves in responses."""

from lynxlanding.dispatch import request_logger, response_metadata


class StatementRecorder:
    """Tells the statements in the endpoints' own responses from others, and logs what changes.

    Parameters
    ----------
    node_id : str
        Id of this node, as the source of statements in log lines.
    limit_table : LimitTable
        Receives the limits on the rate of requests.
    leavings : StatedLeavings
        Receives the endpoints that are leaving.
    on_leaving : callable
        Called with the record of an endpoint when it first states that it is leaving.
    """

    def __init__(self, node_id, limit_table, leavings, on_leaving):
        self._node_id = node_id
        self._limit_table = limit_table
        self._leavings = leavings
        self._on_leaving = on_leaving

    def record_response(self, record, request_id, status, metadata, sent_at, now):
        """Record what a response states, if the endpoint itself has sent it.

        Parameters
        ----------
        record : EndpointRecord
            Incarnation that the request was sent to.
        request_id : str
            Identity of the request.
        status : int
            HTTP status of the response.
        metadata : ResponseMetadata
            Decoded headers of the response.
        sent_at, now : float
            Times at which the request was sent and the response arrived, monotonic seconds.
        """
        # With 421, another endpoint at the same address refuses the request.
        is_foreign = status == 421 or metadata.may_be_of_another_request(request_id, status)
        if is_foreign or not (metadata.is_sealed or metadata.was_not_run):
            return
        for name in metadata.statements.malformed:
            request_logger.log_malformed_statement(record, name, request_id)
        if metadata.statements.is_leaving and self._leavings.record_response(record, now):
            request_logger.log_leaving_stated(
                record.endpoint_id, record.started_ms, self._node_id, 0.0, request_id
            )
            self._on_leaving(record)
        self._record_limit(record, request_id, status, metadata, sent_at, now)

    def _record_limit(self, record, request_id, status, metadata, sent_at, now):
        statements = metadata.statements
        if response_metadata.LIMIT in statements.malformed:
            return
        if statements.limit_per_s is None and (metadata.was_not_run or status >= 500):
            # A failure may lack the headers of other responses, so it does not end a limit.
            return
        change = self._limit_table.record_response(record, statements.limit_per_s, sent_at, now)
        if change is not None:
            request_logger.log_limit_changed(change, request_id)
