import pytest
import waitress.adjustments
from waitress import parser

from lynxlanding.gateway import strict_parser


def parse(data):
    made = strict_parser.StrictParser(waitress.adjustments.Adjustments())
    made.received(data)
    return made


def test_refuses_a_request_with_two_framings():
    """Guards against a second request hidden in the body of the first."""
    made = parse(
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    assert made.error is not None
    assert made.error.code == 400


def test_keeps_the_target_and_the_headers_as_sent():
    made = parse(b"GET /a%2Fb/../c?x=%2f HTTP/1.1\r\nHost: h\r\nX-A: 1\r\nx-a: 2\r\nX_B: 3\r\n\r\n")
    assert made.request_uri == "/a%2Fb/../c?x=%2f"
    assert made.raw_headers == [("Host", "h"), ("X-A", "1"), ("x-a", "2"), ("X_B", "3")]


@pytest.mark.parametrize("line", [b"X A: 1", b": 1", b"X-A : 1"])
def test_refuses_malformed_headers(line):
    made = parse(b"GET / HTTP/1.1\r\nHost: h\r\n" + line + b"\r\n\r\n")
    assert made.error is not None
    assert isinstance(made.error.code, int)
    assert issubclass(parser.ParsingError, Exception)
