"""Interface of the codecs of messages between nodes."""

from typing import Protocol

from lynxlanding.membership import messages

Message = messages.ExchangeRequest | messages.ExchangeResponse | messages.ExchangePush


class MessageCodec(Protocol):
    """Encodes and decodes messages between nodes."""

    content_type: str

    def encode(self, message: Message) -> bytes:
        """Return the encoded message."""
        ...

    def decode(self, data: bytes) -> Message:
        """Return the message; raises ``errors.membership.MalformedMessage``."""
        ...
