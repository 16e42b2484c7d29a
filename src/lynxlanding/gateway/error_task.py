"""Typed refusals of requests that the HTTP server cannot parse."""

import json

from waitress import task

from lynxlanding.errors import request as request_errors
from lynxlanding.gateway import json_response, request_parser


class JsonErrorTask(task.ErrorTask):
    """Answers a malformed or oversized request with a JSON body."""

    def execute(self):
        """Write the refusal and close the connection."""
        server_error = self.request.error
        error = request_errors.InvalidRequest(server_error.reason)
        if server_error.code == 413:
            error = request_errors.BodyTooLarge(server_error.reason)
        body = json.dumps(json_response.error_document(error)).encode()
        self.status = json_response.status_line(server_error.code)
        self.response_headers.append(("Content-Type", "application/json"))
        self.response_headers.append(("X-Request-Id", request_parser.new_request_id()))
        self.response_headers.append(("X-Executed", error.executed))
        self.response_headers.append(("Connection", "close"))
        self.close_on_finish = True
        self.content_length = len(body)
        self.write(body)
