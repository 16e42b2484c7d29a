"""Random requests in random pieces against the readers of heads, chunks and framing."""

import gc

import hypothesis
import waitress.adjustments
from hypothesis import strategies

from lynxlanding.errors import request as request_errors
from lynxlanding.gateway import body_readers, strict_parser
from lynxlanding.traffic import limits as caller_limits

LIMITS = caller_limits.CallerLimits(
    max_header_bytes=512, max_body_bytes=2048, header_timeout_s=1.0, idle_timeout_s=1.0
)
ADJUSTMENTS = waitress.adjustments.Adjustments()
MAX_HELD_BYTES = LIMITS.max_header_bytes + LIMITS.max_body_bytes + body_readers.MAX_CHUNK_LINE_BYTES
FIXED = hypothesis.settings(derandomize=True, deadline=None, max_examples=300)

NOISE = strategies.sampled_from(
    [
        b"\r\n",
        b"\r",
        b"\n",
        b"0",
        b"ffffffffffffffffff",
        b";a=b",
        b":",
        b" ",
        b"\x00",
        b"-1",
        b"4\r\n",
    ]
)
CHUNK = strategies.binary(min_size=1, max_size=300).map(
    lambda data: b"%x\r\n%b\r\n" % (len(data), data)
)
CUTS = strategies.lists(strategies.integers(1, 200), max_size=60)
CHUNKED = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"


def read(data, cuts):
    """Feed a parser with pieces of ``data``; return it and the number of bytes consumed."""
    parsed = strict_parser.StrictParser(ADJUSTMENTS)
    parsed.limits = LIMITS
    total = 0
    pieces = iter(cuts)
    while total < len(data) and not parsed.completed:
        piece = data[total : total + next(pieces, len(data))]
        while piece and not parsed.completed:
            consumed = parsed.received(piece)
            assert 0 <= consumed <= len(piece)
            assert consumed or parsed.completed
            assert parsed.held_bytes <= MAX_HELD_BYTES
            total += consumed
            piece = piece[consumed:]
    return parsed, total


@FIXED
@hypothesis.given(strategies.lists(strategies.binary(min_size=1, max_size=300), max_size=7), CUTS)
def test_sound_chunks_give_the_body_whatever_the_pieces(parts, cuts):
    """Guards against bytes that are lost, doubled or taken from the next request."""
    hypothesis.assume(sum(map(len, parts)) <= LIMITS.max_body_bytes)
    chunks = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)
    request = CHUNKED + chunks + b"0\r\n\r\n"
    parsed, total = read(request + b"GET / HTTP/1.1\r\n\r\n", cuts)
    assert parsed.completed
    assert parsed.error is None
    assert total == len(request)
    assert parsed.get_body_stream().read() == b"".join(parts)


@FIXED
@hypothesis.given(strategies.binary(max_size=2048), CUTS)
def test_sound_lengths_give_the_body_whatever_the_pieces(body, cuts):
    """Guards against bytes that are lost, doubled or taken from the next request."""
    request = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
    parsed, total = read(request + b"GET / HTTP/1.1\r\n\r\n", cuts)
    assert parsed.completed
    assert parsed.error is None
    assert total == len(request)
    assert parsed.get_body_stream().read() == body


@FIXED
@hypothesis.given(strategies.lists(strategies.one_of(NOISE, CHUNK), max_size=40), CUTS)
def test_odd_chunks_never_exceed_the_limits(parts, cuts):
    """Guards against an exception, an endless loop or memory without bound in the chunk reader."""
    parsed, _ = read(CHUNKED + b"".join(parts), cuts)
    if parsed.completed and parsed.error is None:
        assert len(parsed.get_body_stream().read()) <= LIMITS.max_body_bytes


@FIXED
@hypothesis.given(
    strategies.lists(strategies.one_of(NOISE, strategies.binary(max_size=100)), max_size=40), CUTS
)
def test_odd_heads_never_exceed_the_limits(parts, cuts):
    """Guards against an exception, an endless loop or memory without bound in the head reader."""
    read(b"POST /a HTTP/1.1\r\n" + b"".join(parts), cuts)


def test_one_turn_reads_a_bounded_number_of_chunks():
    """Guards against callers whose chunks of one byte shut out others."""
    reader = body_readers.ChunkReader(LIMITS)
    data = b"1\r\nx\r\n" * 1000
    assert reader.received(data) == 6 * body_readers.MAX_CHUNKS_PER_TURN
    assert len(reader) == body_readers.MAX_CHUNKS_PER_TURN


def test_body_is_refused_before_it_arrives():
    """Guards against bodies that are kept because only their whole size is compared."""
    parsed, _ = read(CHUNKED + b"801\r\n" + b"x" * 100, [])
    assert parsed.error.status == 413
    assert parsed.held_bytes == 0
    head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2049\r\n\r\n"
    assert read(head, [])[0].error.status == 413
    assert read(head.replace(b"2049", b"2048"), [])[0].error is None


def test_heads_and_trailers_are_bounded():
    """Guards against headers without end, before and after the body."""
    head = b"GET / HTTP/1.1\r\nX: " + b"a" * 600
    assert read(head, [])[0].error.status == 431
    assert read(CHUNKED + b"0\r\nX: " + b"a" * 600, [])[0].error.status == 431
    many_lines = CHUNKED + b"1;" + b"a" * 2000
    assert read(many_lines, [])[0].error.status == 400


def test_refused_bodies_are_freed_at_once():
    """Guards against refused bodies that stay in memory until the next garbage collection."""
    gc.collect()
    gc.disable()
    try:
        parsed, _ = read(CHUNKED + b"64\r\n" + b"x" * 100, [])
        parsed.refuse(request_errors.Overloaded("no memory"))
        del parsed
        assert gc.collect() == 0
    finally:
        gc.enable()
