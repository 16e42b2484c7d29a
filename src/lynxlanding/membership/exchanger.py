"""Client side of gossip exchanges."""

import logging
import time

import pykka

from lynxlanding.errors import membership as membership_errors
from lynxlanding.membership import exchange_handler, messages

EXCHANGE_TIMEOUT_S = 2.0

_logger = logging.getLogger(__name__)


class Exchanger:
    """Runs exchanges on worker threads, so that the actor never waits for a peer.

    Parameters
    ----------
    transport : PeerTransport
        Transport to the peer listeners.
    codec : MessageCodec
        Codec of request and response bodies.
    """

    def __init__(self, transport, codec):
        self._transport = transport
        self._codec = codec

    def run(self, actor, planned):
        """Run one exchange; a failed one is not retried, since the next one covers it."""
        try:
            request = actor.create_request(planned.scope).get(timeout=EXCHANGE_TIMEOUT_S)
            # Taken before the request is sent, since the receiver of the revision report counts
            # its age from this time.
            sent_at = time.monotonic()
            body = self._post(planned.address, request)
            response = self._codec.decode(body)
            if not isinstance(response, messages.ExchangeResponse):
                raise membership_errors.MalformedMessage("the response is not an ExchangeResponse")
            push = actor.merge_response(response, sent_at).get(timeout=EXCHANGE_TIMEOUT_S)
            if push is not None:
                self._post(planned.address, push)
        except membership_errors.MembershipError as e:
            _logger.info("exchange with %s failed: %s", planned.address, e)
        except (pykka.Timeout, pykka.ActorDeadError):
            return

    def _post(self, address, message):
        return self._transport.post(
            address,
            exchange_handler.PATH,
            self._codec.encode(message),
            self._codec.content_type,
            EXCHANGE_TIMEOUT_S,
        )
