"""WSGI application that serves this node's configuration to other nodes."""

import urllib.parse

from lynxlanding.gateway import json_response
from lynxlanding.peers import copy_client
from lynxlanding.transport import address as transport_address


class ConfigurationApp:
    """Serves ``GET /peer/v1/configuration?after=NUMBER&address=HOST:PORT``.

    The answer is 200 with an encoded copy, 204 if there is nothing newer, or 503 with the addresses
    of nodes that have got a copy, if too many are being sent.

    Parameters
    ----------
    copies : ConfigurationCopies
        Holds the configuration of this node.
    """

    def __init__(self, copies):
        self._copies = copies

    def __call__(self, environ, start_response):
        """Respond to a node that asks for a newer configuration."""
        if environ["REQUEST_METHOD"] != "GET":
            return json_response.send(
                start_response, 405, {"error": {"type": "method_not_allowed"}}
            )
        if environ.get("PATH_INFO") != copy_client.PATH:
            return json_response.send(start_response, 404, {"error": {"type": "not_found"}})
        query = urllib.parse.parse_qs(environ.get("QUERY_STRING", ""))
        address = query.get("address", [""])[0]
        try:
            number = int(query.get("after", ["0"])[0])
        except ValueError:
            return json_response.send(start_response, 400, {"error": {"type": "invalid_request"}})
        answer = self._copies.serve(number, address if transport_address.is_valid(address) else "")
        if answer.is_busy:
            return json_response.send(start_response, 503, {"holders": answer.holders})
        if answer.data is None:
            start_response(json_response.status_line(204), [])
            return [b""]
        headers = [
            ("Content-Type", "application/octet-stream"),
            ("Content-Length", str(len(answer.data))),
        ]
        start_response(json_response.status_line(200), headers)
        return [answer.data]
