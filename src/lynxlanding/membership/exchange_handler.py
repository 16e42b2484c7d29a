"""WSGI handler of the gossip exchanges that other nodes start."""

import logging

import pykka

from lynxlanding.errors import membership as membership_errors
from lynxlanding.membership import messages

PATH = "/peer/v1/exchange"
MAX_BODY_BYTES = 1 << 20
ACTOR_TIMEOUT_S = 2.0

_logger = logging.getLogger(__name__)


class ExchangeHandler:
    """Responds to exchange requests and merges pushes.

    Parameters
    ----------
    actor : pykka.ActorProxy
        Proxy of the ``MembershipActor``.
    codec : MessageCodec
        Codec of request and response bodies.
    """

    def __init__(self, actor, codec):
        self._actor = actor
        self._codec = codec

    def __call__(self, environ, start_response):
        """Handle one HTTP request."""
        try:
            length = int(environ.get("CONTENT_LENGTH") or 0)
        except ValueError:
            length = 0
        if environ["REQUEST_METHOD"] != "POST" or not 0 < length <= MAX_BODY_BYTES:
            return _send(start_response, "400 Bad Request", b"", "text/plain")
        try:
            message = self._codec.decode(environ["wsgi.input"].read(length))
        except membership_errors.MalformedMessage as e:
            _logger.warning("rejected a malformed peer message: %s", e)
            return _send(start_response, "400 Bad Request", b"", "text/plain")
        try:
            if isinstance(message, messages.ExchangeRequest):
                response = self._actor.handle_request(message).get(timeout=ACTOR_TIMEOUT_S)
                body = self._codec.encode(response)
            elif isinstance(message, messages.ExchangePush):
                self._actor.merge_push(message).get(timeout=ACTOR_TIMEOUT_S)
                body = b""
            else:
                return _send(start_response, "400 Bad Request", b"", "text/plain")
        except (pykka.Timeout, pykka.ActorDeadError):
            return _send(start_response, "503 Service Unavailable", b"", "text/plain")
        return _send(start_response, "200 OK", body, self._codec.content_type)


def _send(start_response, status, body, content_type):
    start_response(status, [("Content-Type", content_type), ("Content-Length", str(len(body)))])
    return [body]
