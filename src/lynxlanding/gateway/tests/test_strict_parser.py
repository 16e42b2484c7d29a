import pytest
import waitress.adjustments
from waitress import parser

from lynxlanding.gateway import strict_parser


def parse(data):
    parsed = strict_parser.StrictParser(waitress.adjustments.Adjustments())
    parsed.received(data)
    return parsed


def test_rejects_content_length_with_transfer_encoding():
    """Guards against request smuggling: a second request hidden in the body of the first."""
    parsed = parse(
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    assert parsed.error is not None
    assert parsed.error.code == 400


def test_preserves_raw_target_and_headers():
    parsed = parse(
        b"GET /a%2Fb/../c?x=%2f HTTP/1.1\r\nHost: h\r\nX-A: 1\r\nx-a: 2\r\nX_B: 3\r\n\r\n"
    )
    assert parsed.request_uri == "/a%2Fb/../c?x=%2f"
    assert parsed.raw_headers == [("Host", "h"), ("X-A", "1"), ("x-a", "2"), ("X_B", "3")]


@pytest.mark.parametrize("line", [b"X A: 1", b": 1", b"X-A : 1"])
def test_rejects_malformed_headers(line):
    parsed = parse(b"GET / HTTP/1.1\r\nHost: h\r\n" + line + b"\r\n\r\n")
    assert parsed.error is not None
    assert isinstance(parsed.error.code, int)
    assert issubclass(parser.ParsingError, Exception)
