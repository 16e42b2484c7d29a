"""Decoding, encoding and filtering of HTTP request and response headers."""

import datetime
import email.utils
import functools
import string

import xxhash

from lynxlanding.dispatch import request_metadata, response_metadata
from lynxlanding.fleet import endpoint_statements

REQUEST_ID = "X-Request-Id"
EXPECT_INSTANCE = "X-Expect-Instance"

_DEADLINE = "X-Deadline-Ms"
_WORKSPACE = "X-Tenant"
_URGENCY = "X-Request-Urgency"
_LAST_EVENT_ID = "Last-Event-Id"
_LIMIT = "Server-Limit"
_LEAVING = "Server-Leaving"
_RETRY_AFTER = "Retry-After"
_COLD = "X-Cold-Ms"
# Longer than each of the three formats of HTTP.
_MAX_DATE_CHARACTERS = 64
_LEAVING_VALUES = {"0": False, "1": True}
_PROMPT_PARTS = "x-prompt-prefix"
_HEX_DIGITS = frozenset(string.hexdigits.lower())
_MAX_PART_DIGITS = 16
_BEARER_SCHEME = "bearer"

# Hop-by-hop headers, and headers that the node sets itself or must not disclose to endpoints. The
# node sets Content-Length for the body that it forwards.
_UNFORWARDED_REQUEST_HEADERS = frozenset(
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
_UNFORWARDED_RESPONSE_HEADERS = frozenset(
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
    """Return the ``RequestMetadata`` decoded from a request's headers.

    Parameters
    ----------
    headers : list of (str, str)
        Headers as sent. A value that cannot be parsed is treated as absent.
    """
    values = _index_last_values(headers)
    scheme, _, key = values.get("authorization", "").partition(" ")
    prompt_tokens = 0
    max_answer_tokens = 0
    token_counts = values.get("x-token-counts", "").split(",")
    if len(token_counts) == 2:
        prompt_tokens = _parse_int(token_counts[0]) or 0
        max_answer_tokens = _parse_int(token_counts[1]) or 0
    timeout_ms = _parse_float(values.get(_DEADLINE.lower()))
    return request_metadata.RequestMetadata(
        request_id=values.get(REQUEST_ID.lower(), ""),
        api_key=key.strip() if scheme.lower() == _BEARER_SCHEME and key else None,
        caller_timeout_s=None if timeout_ms is None else timeout_ms / 1000,
        model=values.get("x-model"),
        prompt_tokens=prompt_tokens,
        max_answer_tokens=max_answer_tokens,
        expected_answer_tokens=_parse_int(values.get("x-length-hint")),
        last_event_id=_parse_int(values.get(_LAST_EVENT_ID.lower())),
        prompt_parts=_decode_prompt_parts(headers),
    )


def encode_forwarded_headers(headers, endpoint_id, time_left_s, workspace, urgency, last_event_id):
    """Return the headers of a request that is forwarded to an endpoint.

    The caller's credentials, hop-by-hop headers (including those that ``Connection`` lists) and
    values of headers that the node sets are dropped.

    Parameters
    ----------
    headers : list of (str, str)
        The caller's headers.
    endpoint_id : str
        Endpoint that the request is meant for; no other one may run it.
    time_left_s : float
        Time until the caller's deadline.
    workspace : str or None
        Name of the caller's workspace.
    urgency : int or None
        Priority in the endpoint's queue; 0 is the most urgent.
    last_event_id : int or None
        Last event that the caller has received, if a stream is resumed. If None, the caller's
        ``Last-Event-Id`` header is forwarded.
    """
    connection_options = set()
    for name, value in headers:
        if name.lower() == "connection":
            for option in value.split(","):
                connection_options.add(option.strip().lower())
    forwarded = []
    for name, value in headers:
        lower_name = name.lower()
        if lower_name in _UNFORWARDED_REQUEST_HEADERS or lower_name in connection_options:
            continue
        if lower_name == _LAST_EVENT_ID.lower() and last_event_id is not None:
            continue
        forwarded.append((name, value))
    forwarded.append((EXPECT_INSTANCE, endpoint_id))
    forwarded.append((_DEADLINE, str(max(1, int(time_left_s * 1000)))))
    if workspace is not None:
        forwarded.append((_WORKSPACE, workspace))
    if urgency is not None:
        forwarded.append((_URGENCY, str(urgency)))
    if last_event_id is not None:
        forwarded.append((_LAST_EVENT_ID, str(last_event_id)))
    return forwarded


def encode_handed_over_headers(headers, time_left_s, last_event_id):
    """Return the headers of a request that another node is asked to serve.

    They are the caller's, with its credentials, except for those of the connection, the time left
    and the position in a stream.

    Parameters
    ----------
    headers : list of (str, str)
        The caller's headers.
    time_left_s : float
        Time until the caller's deadline.
    last_event_id : int or None
        Last event that the caller has received, if a stream is resumed.
    """
    encoded = encode_forwarded_headers(headers, "", time_left_s, None, None, last_event_id)
    kept = [(name, value) for name, value in encoded if name != EXPECT_INSTANCE]
    for name, value in headers:
        if name.lower() == "authorization":
            kept.append((name, value))
    return kept


def decode_response(headers):
    """Return the ``ResponseMetadata`` decoded from a response's headers."""
    values = _index_last_values(headers)
    connection = values.get("connection", "").lower()
    encoding = values.get("content-encoding", "").strip().lower()
    return response_metadata.ResponseMetadata(
        request_id=values.get(REQUEST_ID.lower()),
        is_sealed="x-response-seal" in values,
        was_not_run="x-not-executed" in values,
        load=_decode_endpoint_load(values.get("x-instance-load")),
        is_encoded=encoding not in ("", "identity"),
        closes_connection="close" in connection,
        idle_timeout_s=_decode_idle_timeout(values.get("keep-alive")),
        statements=_decode_statements(headers),
    )


def filter_response_headers(headers):
    """Return the headers of an endpoint's response that are forwarded to the caller."""
    forwarded = []
    for name, value in headers:
        if name.lower() not in _UNFORWARDED_RESPONSE_HEADERS:
            forwarded.append((name, value))
    return forwarded


def _decode_prompt_parts(headers):
    """Return the keys of the parts of a prompt, without the last one.

    The parts are ``id:tokens`` entries. An id that is no hexadecimal number of 64 bits is hashed.
    """
    entries = []
    for value in _find_values(headers, _PROMPT_PARTS):
        entries.extend(value.split(","))
    keys = []
    for entry in entries[:-1]:
        part_id = entry.partition(":")[0].strip().lower()
        if not part_id:
            continue
        if len(part_id) <= _MAX_PART_DIGITS and _HEX_DIGITS.issuperset(part_id):
            keys.append(int(part_id, 16))
        else:
            keys.append(xxhash.xxh64_intdigest(part_id))
    return tuple(keys)


def _decode_endpoint_load(text):
    """Decode ``running,waiting,slots``; return None if the text is absent or malformed."""
    if text is None:
        return None
    counts = []
    for part in text.split(","):
        count = _parse_int(part)
        if count is None:
            return None
        counts.append(count)
    if len(counts) != 3:
        return None
    return response_metadata.EndpointLoad(*counts)


def _decode_statements(headers):
    """Return the ``EndpointStatements`` of a response."""
    stated = {}
    malformed = []
    for name, header, parse in (
        (endpoint_statements.LIMIT, _LIMIT, _parse_float),
        (endpoint_statements.LEAVING, _LEAVING, _parse_leaving),
        (
            endpoint_statements.RETRY_AFTER,
            _RETRY_AFTER,
            functools.partial(_parse_retry_after, headers),
        ),
        (endpoint_statements.COLD, _COLD, _parse_ms),
    ):
        texts = _find_values(headers, header)
        stated[name] = [value for value in map(parse, texts) if value is not None]
        if texts and not stated[name]:
            malformed.append(name)
    # Of several values, the one that keeps more requests from the endpoint holds.
    return endpoint_statements.EndpointStatements(
        min(stated[endpoint_statements.LIMIT], default=None),
        any(stated[endpoint_statements.LEAVING]),
        max(stated[endpoint_statements.RETRY_AFTER], default=None),
        max(stated[endpoint_statements.COLD], default=None),
        tuple(malformed),
    )


def _parse_leaving(text):
    return _LEAVING_VALUES.get(text.strip())


def _parse_ms(text):
    """Return the seconds that a number of milliseconds states; None if it is no number."""
    duration_ms = _parse_float(text)
    return None if duration_ms is None else duration_ms / 1000


def _decode_idle_timeout(text):
    """Return the ``timeout`` parameter of a ``Keep-Alive`` header, in seconds, or None."""
    for parameter in (text or "").split(","):
        name, _, value = parameter.strip().partition("=")
        if name.lower() == "timeout":
            return _parse_float(value)
    return None


def _parse_retry_after(headers, text):
    """Return the time in seconds that a number or an HTTP date states; None if it is neither."""
    retry_after_s = _parse_float(text)
    return _parse_time_until(text, headers) if retry_after_s is None else retry_after_s


def _parse_time_until(text, headers):
    """Return the time from the response until an HTTP date, in seconds; None if it is no date.

    The response's own date is that of the same clock. Without it, this host's clock counts.
    """
    until = _parse_date(text)
    if until is None:
        return None
    responded_at = None
    for value in _find_values(headers, "Date"):
        responded_at = _parse_date(value)
    if responded_at is None:
        responded_at = datetime.datetime.now(datetime.UTC)
    return max(0.0, (until - responded_at).total_seconds())


def _parse_date(text):
    if len(text) > _MAX_DATE_CHARACTERS:
        return None
    try:
        date = email.utils.parsedate_to_datetime(text)
    except ValueError:
        return None
    # Dates without a zone are those of the obsolete formats, which are in UTC.
    return date.replace(tzinfo=datetime.UTC) if date.tzinfo is None else date


def _find_values(headers, wanted):
    """Return all values of a header."""
    return [value for name, value in headers if name.lower() == wanted.lower()]


def _index_last_values(headers):
    """Return the last value of each header by lower-case name."""
    values = {}
    for name, value in headers:
        values[name.lower()] = value
    return values


def _parse_int(text):
    number = _parse_float(text)
    return None if number is None else int(number)


def _parse_float(text):
    """Return a number in [0, 1e12), or None if the text is absent or anything else."""
    if text is None or "_" in text:
        # ``float`` accepts underscores between digits, which numbers on the wire do not have.
        return None
    try:
        number = float(text)
    except ValueError:
        return None
    if not 0 <= number < 1e12:
        return None
    return number
