"""WSGI application for callers."""

import json
import logging
import time

from lynxlanding.errors import request as request_errors
from lynxlanding.gateway import json_response, request_parser, stream_aborted
from lynxlanding.observability import request_summary

_logger = logging.getLogger(__name__)


class CallerApp:
    """Serves models, plain services, health checks and metrics.

    The load balancer polls ``/healthz`` and ``/readyz``.

    Parameters
    ----------
    parser : RequestParser
        Parses and authenticates requests.
    node_state : NodeState
        Configuration, readiness and the requests in flight.
    runner : RequestRunner
        Runs requests.
    observer : RequestObserver
        Counts and logs each finished request.
    metrics : DaemonMetrics
        Metrics that ``/metrics`` exports.
    gate : AdmissionGate
        Decides which requests may run and when.
    """

    def __init__(self, parser, node_state, runner, observer, metrics, gate):
        self._parser = parser
        self._node_state = node_state
        self._runner = runner
        self._observer = observer
        self._metrics = metrics
        self._gate = gate

    def __call__(self, environ, start_response):
        """Serve one request."""
        path = environ.get("PATH_INFO", "")
        if path == "/healthz":
            return json_response.send(start_response, 200, {"status": "ok"})
        if path == "/readyz":
            ready = self._node_state.is_ready
            document = {"ready": ready, "revision": self._node_state.configuration.revision}
            return json_response.send(start_response, 200 if ready else 503, document)
        if path == "/metrics":
            content_type, body = self._metrics.render()
            headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
            start_response("200 OK", headers)
            return [body]
        request_id = request_parser.new_request_id()
        timer = self._observer.begin(request_id)
        try:
            if path == "/v1/models":
                return self._list_models(environ, start_response, request_id)
            return self._run_request(environ, start_response, request_id, timer)
        except request_errors.RequestError as e:
            timer.on_status(e.status)
            is_disconnected = environ.get("waitress.client_disconnected")
            result = request_summary.REFUSED
            if is_disconnected is not None and is_disconnected():
                result = request_summary.ABANDONED
            self._observer.end(timer, result, e.type_name, e.executed)
            return json_response.send_error(start_response, e, request_id)
        except Exception:
            _logger.exception("internal error in request %s", request_id)
            error = request_errors.RequestError("internal error", executed="unknown")
            timer.on_status(error.status)
            self._observer.end(timer, request_summary.REFUSED, error.type_name, error.executed)
            return json_response.send_error(start_response, error, request_id)

    def _list_models(self, environ, start_response, request_id):
        configuration = self._node_state.configuration
        request_parser.authenticate(environ, configuration)
        models = []
        for name in sorted(configuration.of_kind("models")):
            models.append({"id": name, "object": "model", "created": 0, "owned_by": "lynxlanding"})
        headers = [("X-Request-Id", request_id)]
        document = {"object": "list", "data": models}
        return json_response.send(start_response, 200, document, headers)

    def _run_request(self, environ, start_response, request_id, timer):
        if not self._node_state.try_begin():
            # The node no longer reads claims, so an earlier submission of the key may have run.
            executed = "unknown" if "HTTP_IDEMPOTENCY_KEY" in environ else "no"
            raise request_errors.NodeStopping(
                "this node is shutting down", executed=executed, retry_after_s=1.0
            )
        is_stream_started = False
        is_admitted = False
        try:
            request = self._parser.parse(environ, self._node_state.configuration, request_id)
            timer.on_request(request.workspace, request.target, request.stream)
            self._admit(request)
            is_admitted = True
            status, headers, body = self._runner.run(request)
            timer.on_status(status)
            response_headers = [("X-Request-Id", request_id)]
            for name, value in headers.items():
                response_headers.append((name.title(), value))
            if not request.stream or status != 200:
                response_headers.append(("Content-Length", str(sum(len(part) for part in body))))
                start_response(json_response.status_line(status), response_headers)
                self._observer.end(timer, request_summary.WHOLE)
                return body
            start_response(json_response.status_line(status), response_headers)
            is_stream_started = True
            stream = _observe_stream(body, request, timer, self._observer)
            return _ResponseStream(stream, self._end_request, request_id, timer, self._observer)
        finally:
            if not is_stream_started:
                self._end_request(request_id if is_admitted else None)

    def _admit(self, request):
        try:
            self._gate.admit(request)
        except request_errors.RequestError as e:
            if request.idempotency_key is not None:
                # The claim has not been read, so an earlier submission of the key may have run.
                e.executed = request_errors.EXECUTED_UNKNOWN
            raise

    def _end_request(self, admitted_request_id, tokens=None):
        self._node_state.end()
        if admitted_request_id is not None:
            self._gate.release(admitted_request_id, tokens)


class _ResponseStream:
    """Response stream that ends its request when the server closes it.

    Closing takes the request out of the count of requests in flight and releases its admission.
    """

    def __init__(self, body, end_request, request_id, timer, observer):
        self._body = body
        self._end_request = end_request
        self._request_id = request_id
        self._timer = timer
        self._observer = observer
        self._is_open = True

    def __iter__(self):
        return self._body

    def close(self):
        """Close the stream, which also cancels the work at the endpoint."""
        if not self._is_open:
            return
        self._is_open = False
        try:
            self._body.close()
        finally:
            self._end_request(self._request_id, self._timer.tokens)
            # Has no effect if the stream has ended and was recorded already.
            self._observer.end(self._timer, request_summary.ABANDONED)


def _observe_stream(body, request, timer, observer):
    try:
        for chunk in body:
            timer.on_chunk(chunk, time.monotonic())
            yield chunk
        observer.end(timer, request_summary.WHOLE)
    except request_errors.RequestError as e:
        _logger.warning("stream of request %s failed: %s", request.request_id, e)
        is_disconnected = request.has_caller_left()
        result = request_summary.ABANDONED if is_disconnected else request_summary.BROKEN
        observer.end(timer, result, e.type_name, e.executed)
        document = json.dumps(json_response.error_document(e))
        yield b"event: error\ndata: " + document.encode() + b"\n\n"
        raise stream_aborted.StreamAborted(str(e)) from e
    finally:
        # If the caller disconnects, the server closes this generator; closing the body also closes
        # the connection to the endpoint.
        body.close()
