"""WSGI application that forwards callers' requests to endpoints."""

import dataclasses
import logging
import time

from lynxlanding.dispatch import request_forwarder, request_logger
from lynxlanding.errors import request as request_errors
from lynxlanding.gateway import json_response, stream_aborted, strict_parser
from lynxlanding.handover import handed_over_request

_logger = logging.getLogger(__name__)

# Retry-After of a node that reaches no endpoint, for a node that has just asked it.
CUT_RETRY_AFTER_S = 0.5
# Statuses after which callers may send the same request again; sent with Retry-After.
_RETRYABLE_STATUSES = (429, 503)


class ProxyApp:
    """Forwards requests of callers and relays the responses.

    Parameters
    ----------
    reader : RequestReader
        Parses and routes requests.
    node_status : NodeStatus
        Counts requests and tells whether new ones are refused.
    serving : ServingActor proxy
        Chooses endpoints.
    endpoint_client : EndpointClient
        Sends attempts to endpoints.
    codec : module
        Decodes and encodes headers.
    stall_tracker : StallTracker
        Endpoints that have stopped making progress.
    statement_recorder : StatementRecorder
        Receives what endpoints state about themselves.
    part_guard : PartGuard
        Refuses prompts that crash engines.
    crash_monitor : CrashMonitor
        Told of attempts that broke off.
    reachability : Reachability
        Told of endpoints that could not be reached.
    peers : PeerForwarder
        Hands requests over to other nodes.
    logger : RequestLogger
        Logs decisions about requests.
    metrics : NodeMetrics
        Counts finished requests and their durations.
    """

    def __init__(
        self,
        reader,
        node_status,
        serving,
        endpoint_client,
        codec,
        stall_tracker,
        statement_recorder,
        part_guard,
        crash_monitor,
        reachability,
        peers,
        logger,
        metrics,
    ):
        self._reader = reader
        self._node_status = node_status
        self._serving = serving
        self._endpoint_client = endpoint_client
        self._codec = codec
        self._stall_tracker = stall_tracker
        self._statement_recorder = statement_recorder
        self._part_guard = part_guard
        self._crash_monitor = crash_monitor
        self._reachability = reachability
        self._peers = peers
        self._request_logger = logger
        self._metrics = metrics

    def __call__(self, environ, start_response):
        """Handle one request."""
        received_at = time.monotonic()
        decoded_headers = self._codec.decode_request(environ[strict_parser.RAW_HEADERS_KEY])
        record = _RequestRecord(decoded_headers.request_id, received_at, self._metrics)
        self._node_status.begin_request()
        is_stream = False
        try:
            if self._node_status.refuses_requests:
                raise request_errors.NodeStopping("the node is shutting down", retry_after_s=0.0)
            request = self._reader.read(environ, decoded_headers, received_at)
            record.set_request(request)
            request, sender = self._accept_handed_over(request)
            if sender is not None or not self._peers.is_needed():
                # Otherwise the node that serves the request counts it.
                self._serving.record_request(
                    request.service,
                    request.metadata.model,
                    request.work,
                    received_at,
                    request.priority,
                )
            forwarder = request_forwarder.RequestForwarder(
                request,
                self._serving,
                self._endpoint_client,
                self._codec,
                self._stall_tracker,
                self._statement_recorder,
                self._part_guard,
                self._crash_monitor,
                self._reachability,
                self._peers if sender is None else None,
                self._request_logger,
            )
            reply = forwarder.forward()
            start_response(json_response.status_line(reply.status), self._response_headers(reply))
            if reply.stream is None:
                record.finish(reply.status, "whole")
                return [reply.body]
            is_stream = True
            return _StreamBody(reply.stream, record, self._node_status)
        except request_errors.RequestError as e:
            record.finish(e.status, "refused" if e.executed == "no" else "failed", e)
            return self._send_error(start_response, e, decoded_headers.request_id)
        except Exception:
            _logger.exception("internal error in request %s", decoded_headers.request_id)
            error = request_errors.RequestError("internal error", executed="unknown")
            record.finish(error.status, "failed", error)
            return self._send_error(start_response, error, decoded_headers.request_id)
        finally:
            if not is_stream:
                self._node_status.end_request()

    def _accept_handed_over(self, request):
        """Return a request without the mark of another node, and that node's id or None.

        Raises
        ------
        errors.request.NoEndpoint
            If this node reaches no endpoint either.
        """
        sender = None
        headers = []
        for name, value in request.headers:
            if name.lower() == handed_over_request.HANDED_OVER_BY.lower():
                sender = value
            else:
                headers.append((name, value))
        if sender is None:
            return request, None
        self._request_logger.log_accepted(request, sender, self._reachability.is_cut)
        if self._reachability.is_cut:
            raise request_errors.NoEndpoint(
                "this node reaches no endpoint", retry_after_s=CUT_RETRY_AFTER_S
            )
        return dataclasses.replace(request, headers=headers), sender

    def _response_headers(self, reply):
        headers = list(reply.headers)
        if reply.body is not None:
            headers.append(("Content-Length", str(len(reply.body))))
        return headers

    def _send_error(self, start_response, error, request_id):
        status = error.status
        if status == request_errors.CallerDisconnected.status:
            # The caller has disconnected, so nobody reads this response.
            status = 502
        headers = [("X-Request-Id", request_id), ("X-Executed", error.executed)]
        if status in _RETRYABLE_STATUSES:
            headers.append(("Retry-After", f"{error.retry_after_s or 0.0:.2f}"))
        document = json_response.error_document(error)
        return json_response.send(start_response, status, document, headers)


class _RequestRecord:
    """Collects the outcome of one request for its log line and the metrics."""

    def __init__(self, request_id, received_at, metrics):
        self._request_id = request_id
        self._received_at = received_at
        self._metrics = metrics
        self._request = None
        self._first_event_at = None
        self._is_finished = False
        self._event_count = 0

    def set_request(self, request):
        self._request = request

    def count_events(self, chunk):
        if self._first_event_at is None:
            self._first_event_at = time.monotonic()
        self._event_count += chunk.count(b"\n\n")

    def finish(self, status, result, error=None):
        if self._is_finished:
            return
        self._is_finished = True
        now = time.monotonic()
        request = self._request
        first_event_s = (
            None if self._first_event_at is None else self._first_event_at - self._received_at
        )
        summary = {
            "status": status,
            "result": result,
            "duration_s": round(now - self._received_at, 4),
            "first_event_s": None if first_event_s is None else round(first_event_s, 4),
            "events": self._event_count,
        }
        if request is not None:
            summary["route"] = request.route.name
            summary["service"] = request.service
            summary["workspace"] = request.workspace
            summary["model"] = request.metadata.model
        if error is not None:
            summary["error"] = error.type_name
            summary["detail"] = str(error)[:200]
            summary["executed"] = error.executed
            summary["retry_after_s"] = error.retry_after_s
        request_logger.log_finished(self._request_id, summary)
        service = "" if request is None else request.service
        self._metrics.record_request(
            service, result, status, now - self._received_at, first_event_s
        )


class _StreamBody:
    """Response body that relays a stream to the caller and records how it ended."""

    def __init__(self, stream, record, node_status):
        self._stream = stream
        self._record = record
        self._node_status = node_status
        self._is_open = True

    def __iter__(self):
        try:
            for chunk in self._stream:
                self._record.count_events(chunk)
                yield chunk
            self._record.finish(200, "whole")
        except stream_aborted.StreamAborted as e:
            self._record.finish(200, "broken", request_errors.EndpointFailed(str(e)))
            raise

    def close(self):
        """Close the stream, which also cancels the request at the endpoint."""
        if not self._is_open:
            return
        self._is_open = False
        try:
            self._stream.close()
        finally:
            self._node_status.end_request()
            # Has no effect if the stream has already ended by itself.
            self._record.finish(200, "abandoned")
