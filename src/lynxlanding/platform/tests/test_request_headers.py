from lynxlanding.platform import request_headers

SENT = [
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


def test_decodes_what_a_request_says():
    marks = request_headers.decode_request(SENT)
    assert marks.request_id == "q"
    assert marks.key == "key"
    assert marks.patience_s == 8.0
    assert (marks.prompt_tokens, marks.max_answer_tokens) == (1460, 80)
    assert marks.expected_answer_tokens == 70
    assert marks.last_event_id == 12


def test_unreadable_values_count_as_absent():
    marks = request_headers.decode_request(
        [("X-Deadline-Ms", "soon"), ("X-Token-Counts", "a,b,c"), ("X-Length-Hint", "-1")]
    )
    assert marks.patience_s is None
    assert marks.prompt_tokens == 0
    assert marks.expected_answer_tokens is None


def test_sets_its_own_headers_and_keeps_the_callers():
    """Guards against a caller that names a workspace, and a key that reaches an engine."""
    sent = request_headers.encode_forwarded(SENT, "i-1", 1.5, "w", 3, None)
    names = [name for name, _ in sent]
    assert "Authorization" not in names
    assert "X-Hop" not in names
    assert [value for name, value in sent if name == "X-Tenant"] == ["w"]
    assert [value for name, value in sent if name == "X-Expect-Instance"] == ["i-1"]
    assert [value for name, value in sent if name == "X-Deadline-Ms"] == ["1500"]
    assert [value for name, value in sent if name == "X-Own"] == ["a", "b"]
    assert [value for name, value in sent if name == "Last-Event-Id"] == ["12"]


def test_a_resumed_stream_names_the_last_event_once():
    sent = request_headers.encode_forwarded(SENT, "i-1", 1.5, None, None, 20)
    assert [value for name, value in sent if name == "Last-Event-Id"] == ["20"]
    assert "X-Tenant" not in [name for name, _ in sent]


def test_decodes_what_a_response_says():
    marks = request_headers.decode_response(
        [
            ("X-Request-Id", "q"),
            ("X-Response-Seal", "s"),
            ("X-Instance-Load", "3,1,9"),
            ("Keep-Alive", "timeout=4, max=9"),
            ("Connection", "Keep-Alive"),
        ]
    )
    assert marks.is_sealed
    assert not marks.was_not_run
    assert (marks.load.running, marks.load.waiting, marks.load.slots) == (3, 1, 9)
    assert marks.idle_timeout_s == 4.0
    assert not marks.closes_connection
    refused = request_headers.decode_response(
        [("X-Not-Executed", "1"), ("Connection", "close"), ("X-Instance-Load", "3,x")]
    )
    assert refused.was_not_run
    assert refused.closes_connection
    assert refused.load is None
