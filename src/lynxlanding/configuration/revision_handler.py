"""WSGI handler that serves revisions to other nodes."""

import json

from lynxlanding.configuration import revision_bundle

PATH = "/peer/v1/configuration"
MAX_BODY_BYTES = 4096


class RevisionHandler:
    """Responds to ``{"base", "digest"}`` with a revision bundle, or 404.

    Parameters
    ----------
    log : RevisionLog
        Recent revisions of this node.
    """

    def __init__(self, log):
        self._log = log

    def __call__(self, environ, start_response):
        """Handle one request."""
        try:
            length = int(environ.get("CONTENT_LENGTH") or 0)
            if environ["REQUEST_METHOD"] != "POST" or not 0 < length <= MAX_BODY_BYTES:
                return _send(start_response, "400 Bad Request", None)
            request = json.loads(environ["wsgi.input"].read(length))
            base, digest = str(request["base"]), str(request["digest"])
        except (ValueError, KeyError, TypeError):
            return _send(start_response, "400 Bad Request", None)
        bundle = revision_bundle.build(self._log, base, digest)
        if bundle is None:
            return _send(start_response, "404 Not Found", None)
        return _send(start_response, "200 OK", bundle)


def _send(start_response, status, document):
    body = json.dumps(document).encode()
    headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
    start_response(status, headers)
    return [body]
