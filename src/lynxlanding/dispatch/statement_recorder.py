"""Records what endpoints state about themselves in responses."""

from lynxlanding.dispatch import request_logger
from lynxlanding.fleet import endpoint_statements

# With other statuses, a Retry-After is not about the endpoint as a whole.
REJECTING_STATUS = 503


class StatementRecorder:
    """Tells the statements in the endpoints' own responses from others, and logs what changes.

    Parameters
    ----------
    node_id : str
        Id of this node, as the source of statements in log lines.
    limit_table : LimitTable
        Receives the limits on the rate of requests.
    rejections : RejectionTable
        Receives the endpoints that want no requests from this node for a time.
    leavings : StatedLeavings
        Receives the endpoints that are leaving.
    on_leaving : callable
        Called with the record of an endpoint when it first states that it is leaving.
    """

    def __init__(self, node_id, limit_table, rejections, leavings, on_leaving):
        self._node_id = node_id
        self._limit_table = limit_table
        self._rejections = rejections
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
        self._record_statements(record, request_id, status, metadata.statements, now)
        self._record_limit(record, request_id, status, metadata, sent_at, now)

    def record_check(self, record, status, statements, now):
        """Record what the response to a health check states.

        It says nothing about limits, which are stated in responses to requests.

        Parameters
        ----------
        record : EndpointRecord
            Incarnation that has been checked.
        status : int
            HTTP status of the response.
        statements : EndpointStatements
            Statements of the endpoint.
        now : float
            Time at which the response arrived, monotonic seconds.
        """
        self._record_statements(record, None, status, statements, now)

    def _record_statements(self, record, request_id, status, statements, now):
        for name in statements.malformed:
            request_logger.log_malformed_statement(record, name, request_id)
        if statements.is_leaving and self._leavings.record_response(record, now):
            request_logger.log_leaving_stated(
                record.endpoint_id, record.started_ms, self._node_id, 0.0, request_id
            )
            self._on_leaving(record)
        if statements.cold_s:
            self._limit_table.cold_engines.record_response(record, statements.cold_s, now)
        if status != REJECTING_STATUS or statements.retry_after_s is None:
            return
        rejection = self._rejections.record_response(record, statements.retry_after_s, now)
        if rejection is not None:
            request_logger.log_rejected(rejection, request_id)

    def _record_limit(self, record, request_id, status, metadata, sent_at, now):
        statements = metadata.statements
        if endpoint_statements.LIMIT in statements.malformed:
            return
        if statements.limit_per_s is None and (metadata.was_not_run or status >= 500):
            # A failure may lack the headers of other responses, so it does not end a limit.
            return
        change = self._limit_table.record_response(record, statements.limit_per_s, sent_at, now)
        if change is not None:
            request_logger.log_limit_changed(change, request_id)
