"""JSON error responses to requests that the HTTP server cannot parse."""

import json

from waitress import task

from lynxlanding.errors import request as request_errors
from lynxlanding.gateway import json_response, request_parser


class JsonErrorTask(task.ErrorTask):
    """Responds to a malformed or oversized request with a JSON error."""

    def execute(self):
        """Write the error response and close the connection."""
        http_error = self.request.error
        error = request_errors.InvalidRequest(http_error.reason)
        if http_error.code == 413:
            error = request_errors.BodyTooLarge(http_error.reason)
        body = json.dumps(json_response.error_document(error)).encode()
        self.status = json_response.status_line(http_error.code)
        self.response_headers.append(("Content-Type", "application/json"))
        self.response_headers.append(("X-Request-Id", request_parser.new_request_id()))
        self.response_headers.append(("X-Executed", error.executed))
        self.response_headers.append(("Connection", "close"))
        self.close_on_finish = True
        self.content_length = len(body)
        self.write(body)
