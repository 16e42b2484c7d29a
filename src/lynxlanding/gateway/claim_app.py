"""WSGI application that serves the outcomes of this node's claims to other nodes."""

import urllib.parse

from lynxlanding.gateway import json_response
from lynxlanding.requests import owner_lookup


class ClaimApp:
    """Serves ``GET /peer/v1/claims/{token}?wait_ms=N``.

    Parameters
    ----------
    claims : ClaimManager
        Holds the claims of this node.
    """

    def __init__(self, claims):
        self._claims = claims

    def __call__(self, environ, start_response):
        """Wait for the outcome of a claim and return it."""
        if environ["REQUEST_METHOD"] != "GET":
            return json_response.send(
                start_response, 405, {"error": {"type": "method_not_allowed"}}
            )
        token = environ.get("PATH_INFO", "").removeprefix(owner_lookup.CLAIMS_PATH)
        query = urllib.parse.parse_qs(environ.get("QUERY_STRING", ""))
        try:
            wait_s = max(0, int(query.get("wait_ms", ["0"])[0])) / 1000
        except ValueError:
            return json_response.send(start_response, 400, {"error": {"type": "invalid_request"}})
        owner_answer = self._claims.outcome(token, wait_s)
        document = owner_lookup.encode(owner_answer, self._claims.identity)
        return json_response.send(start_response, 200, document)
