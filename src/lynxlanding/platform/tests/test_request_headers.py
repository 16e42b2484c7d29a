import email.utils
import time

import pytest

from lynxlanding.platform import request_headers

REQUEST_HEADERS = [
    ("Host", "h"),
    ("X-Request-Id", "q"),
    ("X-Deadline-Ms", "8000"),
    ("Authorization", "Bearer key"),
    ("X-Tenant", "somebody"),
    ("X-Expect-Instance", "i-9"),
    ("X-Model", "m"),
    ("X-Token-Counts", "1460,80"),
    ("X-Length-Hint", "70"),
    ("Last-Event-Id", "12"),
    ("Connection", "keep-alive, X-Hop"),
    ("X-Hop", "1"),
    ("Content-Length", "3"),
    ("X-Own", "a"),
    ("X-Own", "b"),
]


def test_decodes_request_headers():
    metadata = request_headers.decode_request(REQUEST_HEADERS)
    assert metadata.request_id == "q"
    assert metadata.api_key == "key"
    assert metadata.caller_timeout_s == 8.0
    assert (metadata.prompt_tokens, metadata.max_answer_tokens) == (1460, 80)
    assert metadata.expected_answer_tokens == 70
    assert metadata.last_event_id == 12


def test_malformed_header_values_are_treated_as_absent():
    metadata = request_headers.decode_request(
        [("X-Deadline-Ms", "soon"), ("X-Token-Counts", "a,b,c"), ("X-Length-Hint", "-1")]
    )
    assert metadata.caller_timeout_s is None
    assert metadata.prompt_tokens == 0
    assert metadata.expected_answer_tokens is None


def test_forwards_caller_headers_except_those_set_by_the_node():
    """Guards against callers that set their own workspace, and against keys sent to an engine."""
    forwarded = request_headers.encode_forwarded_headers(REQUEST_HEADERS, "i-1", 1.5, "w", 3, None)
    names = [name for name, _ in forwarded]
    assert "Authorization" not in names
    assert "X-Hop" not in names
    assert [value for name, value in forwarded if name == "X-Tenant"] == ["w"]
    assert [value for name, value in forwarded if name == "X-Expect-Instance"] == ["i-1"]
    assert [value for name, value in forwarded if name == "X-Deadline-Ms"] == ["1500"]
    assert [value for name, value in forwarded if name == "X-Own"] == ["a", "b"]
    assert [value for name, value in forwarded if name == "Last-Event-Id"] == ["12"]


def test_resumed_stream_sends_one_last_event_id():
    forwarded = request_headers.encode_forwarded_headers(
        REQUEST_HEADERS, "i-1", 1.5, None, None, 20
    )
    assert [value for name, value in forwarded if name == "Last-Event-Id"] == ["20"]
    assert "X-Tenant" not in [name for name, _ in forwarded]


def test_decodes_response_headers():
    metadata = request_headers.decode_response(
        [
            ("X-Request-Id", "q"),
            ("X-Response-Seal", "s"),
            ("X-Instance-Load", "3,1,9"),
            ("Keep-Alive", "timeout=4, max=9"),
            ("Connection", "Keep-Alive"),
        ]
    )
    assert metadata.is_sealed
    assert not metadata.was_not_run
    assert (metadata.load.running, metadata.load.waiting, metadata.load.slots) == (3, 1, 9)
    assert metadata.idle_timeout_s == 4.0
    assert not metadata.closes_connection
    refused_metadata = request_headers.decode_response(
        [("X-Not-Executed", "1"), ("Connection", "close"), ("X-Instance-Load", "3,x")]
    )
    assert refused_metadata.was_not_run
    assert refused_metadata.closes_connection
    assert refused_metadata.load is None


@pytest.mark.parametrize(
    ("values", "limit_per_s", "is_malformed"),
    [
        ([], None, False),
        (["0"], 0.0, False),
        (["0.2"], 0.2, False),
        (["1.4"], 1.4, False),
        (["1e9"], 1e9, False),
        (["-1"], None, True),
        (["nan"], None, True),
        (["inf"], None, True),
        ([""], None, True),
        (["1_0"], None, True),
        (["9" * 5000], None, True),
        (["4", "2"], 2.0, False),
        (["x", "2"], 2.0, False),
    ],
)
def test_decodes_the_limit_on_requests(values, limit_per_s, is_malformed):
    """Guards against a malformed limit that counts as none, or as one of any value."""
    metadata = request_headers.decode_response([("Server-Limit", value) for value in values])
    assert metadata.statements.limit_per_s == limit_per_s
    assert metadata.statements.malformed == (("limit",) if is_malformed else ())


@pytest.mark.parametrize(
    ("values", "cold_s", "is_malformed"),
    [
        ([], None, False),
        (["0"], 0.0, False),
        (["1500"], 1.5, False),
        (["200", "1500"], 1.5, False),
        (["-1"], None, True),
        (["nan"], None, True),
        (["soon"], None, True),
    ],
)
def test_decodes_for_how_long_an_engine_is_cold(values, cold_s, is_malformed):
    metadata = request_headers.decode_response([("X-Cold-Ms", value) for value in values])
    assert metadata.statements.cold_s == cold_s
    assert metadata.statements.malformed == (("cold",) if is_malformed else ())


@pytest.mark.parametrize(
    ("values", "retry_after_s", "is_malformed"),
    [
        ([], None, False),
        (["0"], 0.0, False),
        (["2.5"], 2.5, False),
        (["3600"], 3600.0, False),
        (["-1"], None, True),
        (["nan"], None, True),
        (["inf"], None, True),
        ([""], None, True),
        (["soon"], None, True),
        (["9" * 5000], None, True),
        (["1", "3"], 3.0, False),
        (["x", "3"], 3.0, False),
        (["Fri, 04 Dec 2026 10:00:09 GMT"], 9.0, False),
        (["Friday, 04-Dec-26 10:00:09 GMT"], 9.0, False),
        (["Fri Dec  4 10:00:09 2026"], 9.0, False),
        (["Fri, 04 Dec 2026 09:59:00 GMT"], 0.0, False),
        (["Fri, 99 Dec 2026 10:00:09 GMT"], None, True),
    ],
)
def test_decodes_the_time_to_retry_after(values, retry_after_s, is_malformed):
    """Guards against a malformed value that keeps all requests from an endpoint, or none."""
    headers = [("Retry-After", value) for value in values]
    headers.append(("Date", "Fri, 04 Dec 2026 10:00:00 GMT"))
    metadata = request_headers.decode_response(headers)
    assert metadata.statements.retry_after_s == retry_after_s
    assert metadata.statements.malformed == (("retry_after",) if is_malformed else ())


def test_date_to_retry_after_is_compared_with_this_clock_if_the_response_has_no_date():
    until = email.utils.formatdate(time.time() + 60.0, usegmt=True)
    metadata = request_headers.decode_response([("Retry-After", until)])
    assert 50.0 < metadata.statements.retry_after_s <= 60.0


@pytest.mark.parametrize(
    ("values", "is_leaving", "is_malformed"),
    [
        ([], False, False),
        (["1"], True, False),
        ([" 1 "], True, False),
        (["0"], False, False),
        (["0", "1"], True, False),
        (["x", "1"], True, False),
        (["x", "0"], False, False),
        ([""], False, True),
        (["true"], False, True),
        (["-1"], False, True),
        (["1" * 5000], False, True),
    ],
)
def test_decodes_the_leaving(values, is_leaving, is_malformed):
    """Guards against an endpoint that goes out of use because of a malformed header."""
    metadata = request_headers.decode_response([("Server-Leaving", value) for value in values])
    assert metadata.statements.is_leaving == is_leaving
    assert metadata.statements.malformed == (("leaving",) if is_malformed else ())


@pytest.mark.parametrize(
    ("values", "parts"),
    [
        (("5c1e07a2:800,91bd3f06:410,e4402b7d:250",), (0x5C1E07A2, 0x91BD3F06)),
        (("5C1E07A2:800, 91bd3f06 :410,x",), (0x5C1E07A2, 0x91BD3F06)),
        (("a:1", "b:1,c:1"), (0xA, 0xB)),
        (("a:1",), ()),
        (("",), ()),
        ((",,:,a:1",), ()),
        ((), ()),
    ],
)
def test_decodes_the_shared_parts_of_a_prompt(values, parts):
    """Guards against blaming the last part, which belongs to one request only."""
    headers = [("X-Prompt-Prefix", value) for value in values]
    assert request_headers.decode_request(headers).prompt_parts == parts


def test_part_ids_that_are_no_numbers_are_told_apart():
    headers = [("X-Prompt-Prefix", f"{'f' * 17}:1,zz:1,zy:1,own:1")]
    parts = request_headers.decode_request(headers).prompt_parts
    assert len(set(parts)) == 3
    assert max(parts) < 1 << 64


def test_request_for_another_node_keeps_the_callers_key_and_nothing_of_the_connection():
    encoded = request_headers.encode_handed_over_headers(REQUEST_HEADERS, 1.5, 20)
    values = dict(encoded)
    assert values["Authorization"] == "Bearer key"
    assert values["X-Deadline-Ms"] == "1500"
    assert values["Last-Event-Id"] == "20"
    assert not {"X-Expect-Instance", "X-Tenant", "X-Hop", "Connection"} & values.keys()
    kept = dict(request_headers.encode_handed_over_headers(REQUEST_HEADERS, 1.5, None))
    assert kept["Last-Event-Id"] == "12"
