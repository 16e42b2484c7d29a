"""Decodes and encodes the headers of requests and responses."""

from lynxlanding.dispatch import request_marks, response_marks

REQUEST_ID = "X-Request-Id"
EXPECT_INSTANCE = "X-Expect-Instance"

_DEADLINE = "X-Deadline-Ms"
_WORKSPACE = "X-Tenant"
_URGENCY = "X-Request-Urgency"
_LAST_EVENT_ID = "Last-Event-Id"
_SCHEME = "bearer"

# Headers of one connection, and those that the node sets itself or keeps to itself. The node
# passes a body on with its length.
_NOT_FORWARDED = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        _DEADLINE.lower(),
        EXPECT_INSTANCE.lower(),
        _URGENCY.lower(),
        _WORKSPACE.lower(),
    }
)
_NOT_RETURNED = frozenset(
    {
        "connection",
        "content-length",
        "keep-alive",
        "proxy-authenticate",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def decode_request(headers):
    """Return the ``RequestMarks`` of a request.

    Parameters
    ----------
    headers : list of (str, str)
        Headers as sent. A value that cannot be read counts as absent.
    """
    values = _last_values(headers)
    scheme, _, key = values.get("authorization", "").partition(" ")
    prompt_tokens = 0
    answer_tokens = 0
    counts = values.get("x-token-counts", "").split(",")
    if len(counts) == 2:
        prompt_tokens = _to_int(counts[0]) or 0
        answer_tokens = _to_int(counts[1]) or 0
    patience_ms = _to_float(values.get(_DEADLINE.lower()))
    return request_marks.RequestMarks(
        request_id=values.get(REQUEST_ID.lower(), ""),
        key=key.strip() if scheme.lower() == _SCHEME and key else None,
        patience_s=None if patience_ms is None else patience_ms / 1000,
        model=values.get("x-model"),
        prompt_tokens=prompt_tokens,
        max_answer_tokens=answer_tokens,
        expected_answer_tokens=_to_int(values.get("x-length-hint")),
        last_event_id=_to_int(values.get(_LAST_EVENT_ID.lower())),
    )


def encode_forwarded(headers, endpoint_id, time_left_s, workspace, urgency, resume_after):
    """Return the headers of an attempt.

    Parameters
    ----------
    headers : list of (str, str)
        The caller's headers.
    endpoint_id : str
        The only endpoint that may run the attempt.
    time_left_s : float
        Time until the caller gives up.
    workspace : str or None
        Name of the caller's workspace.
    urgency : int or None
        Rank in the endpoint's queue; 0 is the most urgent.
    resume_after : int or None
        Last event that the caller has.
    """
    named = set()
    for name, value in headers:
        if name.lower() == "connection":
            for item in value.split(","):
                named.add(item.strip().lower())
    forwarded = []
    for name, value in headers:
        lower = name.lower()
        if lower in _NOT_FORWARDED or lower in named:
            continue
        if lower == _LAST_EVENT_ID.lower() and resume_after is not None:
            continue
        forwarded.append((name, value))
    forwarded.append((EXPECT_INSTANCE, endpoint_id))
    forwarded.append((_DEADLINE, str(max(1, int(time_left_s * 1000)))))
    if workspace is not None:
        forwarded.append((_WORKSPACE, workspace))
    if urgency is not None:
        forwarded.append((_URGENCY, str(urgency)))
    if resume_after is not None:
        forwarded.append((_LAST_EVENT_ID, str(resume_after)))
    return forwarded


def decode_response(headers):
    """Return the ``ResponseMarks`` of a list of headers."""
    values = _last_values(headers)
    connection = values.get("connection", "").lower()
    encoding = values.get("content-encoding", "").strip().lower()
    return response_marks.ResponseMarks(
        request_id=values.get(REQUEST_ID.lower()),
        is_sealed="x-response-seal" in values,
        was_not_run="x-not-executed" in values,
        load=_decode_load(values.get("x-instance-load")),
        is_encoded=encoding not in ("", "identity"),
        closes_connection="close" in connection,
        idle_timeout_s=_decode_idle_timeout(values.get("keep-alive")),
    )


def returned(headers):
    """Return the headers of an endpoint's response that go to the caller."""
    kept = []
    for name, value in headers:
        if name.lower() not in _NOT_RETURNED:
            kept.append((name, value))
    return kept


def _decode_load(text):
    if text is None:
        return None
    numbers = []
    for part in text.split(","):
        number = _to_int(part)
        if number is None:
            return None
        numbers.append(number)
    if len(numbers) != 3:
        return None
    return response_marks.EndpointLoad(*numbers)


def _decode_idle_timeout(text):
    for part in (text or "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout":
            return _to_float(value)
    return None


def _last_values(headers):
    values = {}
    for name, value in headers:
        values[name.lower()] = value
    return values


def _to_int(text):
    number = _to_float(text)
    return None if number is None else int(number)


def _to_float(text):
    if text is None:
        return None
    try:
        number = float(text)
    except ValueError:
        return None
    if not 0 <= number < 1e12:
        return None
    return number
