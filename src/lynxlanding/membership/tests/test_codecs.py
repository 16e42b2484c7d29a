import pytest

from lynxlanding.errors import membership as membership_errors
from lynxlanding.membership import (
    capnp_codec,
    entry,
    json_codec,
    messages,
    node_info,
    revision_report,
    scopes,
)

INFO = node_info.NodeInfo("n1", 1_900_000_000_000, "127.0.0.1:8081", "changamwe", "coast")
DIGEST = {
    INFO.token(): messages.DigestEntry(70_000, 3, 4_000_000_000),
    (1 << 48) - 1: messages.DigestEntry(1, 0, 0),
}
DELTAS = [
    messages.NodeDelta(INFO.token(), INFO, 9, 2, 1, [entry.Entry("load", b"\0{}", 2, "place")]),
    messages.NodeDelta(5, None, 9, 0, 1, [entry.Entry("demand", b"", 1, scopes.WIDE)]),
]
MESSAGES = [
    messages.ExchangeRequest(INFO, scopes.WIDE, DIGEST, None),
    messages.ExchangeRequest(INFO, scopes.PLACE, {}, revision_report.RevisionReport(0, "", None)),
    messages.ExchangeResponse(
        INFO,
        scopes.PLACE,
        DIGEST,
        DELTAS,
        DIGEST,
        revision_report.RevisionReport(7, "ab" * 32, 1.5),
    ),
    messages.ExchangePush(INFO, DELTAS),
]
CODECS = [capnp_codec.CapnpCodec(), json_codec.JsonCodec()]


@pytest.mark.parametrize("codec", CODECS, ids=lambda codec: type(codec).__name__)
@pytest.mark.parametrize("message", MESSAGES, ids=lambda message: type(message).__name__)
def test_encoding_round_trip(codec, message):
    """Guards against a codec that alters or drops a field."""
    assert codec.decode(codec.encode(message)) == message


@pytest.mark.parametrize("codec", CODECS, ids=lambda codec: type(codec).__name__)
def test_corrupt_message_is_rejected(codec):
    """Guards against a corrupt message that crashes the node or is partly merged."""
    data = codec.encode(MESSAGES[2])
    for corrupt in (b"", b"\xff" * 64, data[: len(data) // 2], data[:20] + b"\xff" * 30):
        with pytest.raises(membership_errors.MalformedMessage):
            codec.decode(corrupt)
