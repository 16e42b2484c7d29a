"""JSON error responses to requests that the HTTP server cannot parse."""

import json

from waitress import task

from lynxlanding.errors import request as request_errors
from lynxlanding.gateway import json_response, request_parser


class JsonErrorTask(task.ErrorTask):
    """Responds to a malformed or oversized request with a JSON error."""

    def execute(self):
        """Write the error response and close the connection."""
        error = self.request.error
        if isinstance(error, request_errors.RequestError):
            status = error.status
        else:
            status = error.code
            error = request_errors.InvalidRequest(error.reason)
        body = json.dumps(json_response.error_document(error)).encode()
        self.status = json_response.status_line(status)
        self.response_headers.append(("Content-Type", "application/json"))
        self.response_headers.append(("X-Request-Id", self._request_id()))
        self.response_headers.append(("X-Executed", error.executed))
        if error.retry_after_s is not None:
            self.response_headers.append(("Retry-After", f"{error.retry_after_s:.0f}"))
        self.response_headers.append(("Connection", "close"))
        self.close_on_finish = True
        self.content_length = len(body)
        self.write(body)

    def _request_id(self):
        if self.channel.server.guard.echoes_request_id:
            request_id = self.request.headers.get("X_REQUEST_ID")
            if request_id:
                return request_id
        return request_parser.new_request_id()
