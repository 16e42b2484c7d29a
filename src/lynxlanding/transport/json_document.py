"""Decodes JSON that others have written, so that one odd value does not spoil the rest."""

import json
import math
import re

# Documents of the platform have a few levels.
MAX_DEPTH = 64
# Whole numbers of 64 bits, signed or unsigned, such as times in nanoseconds.
MIN_INTEGER = -(1 << 63)
MAX_INTEGER = (1 << 64) - 1
_MAX_DIGITS = len(str(MAX_INTEGER))

# A string that does not end is one token as well: to search for its end from each of its quotes
# would take a number of steps that grows with the square of its length.
_TOKEN = re.compile(r'"(?:[^"\\]++|\\.?)*+"?|[\[\]{}]', re.DOTALL)
# Not valid JSON, but accepted by the decoder, which replaces it by UNREADABLE.
_UNREADABLE_TEXT = "NaN"


class Unreadable:
    """Type of ``UNREADABLE``."""

    __slots__ = ()

    def __repr__(self):
        return "UNREADABLE"


# Stands for a number out of range, and for what is nested too deeply. It is of no type that a field
# may have.
UNREADABLE = Unreadable()


def decode(data):
    """Return the document in ``data``, with ``UNREADABLE`` for values that cannot be read.

    Bytes that are no UTF-8 become lone surrogates; ``is_readable`` finds them.

    Parameters
    ----------
    data : bytes
        JSON text.

    Raises
    ------
    ValueError
        If the text is not JSON.
    """
    text = data.decode("utf-8", "surrogateescape")
    try:
        return _DECODER.decode(text)
    except RecursionError:
        return _DECODER.decode(_replace_nested(text))


def is_readable(value):
    """Return whether a decoded value can be used and encoded again as a whole."""
    pending = [(value, 0)]
    while pending:
        item, depth = pending.pop()
        if item is UNREADABLE or depth > MAX_DEPTH:
            return False
        if isinstance(item, str):
            if not _is_encodable(item):
                return False
        elif isinstance(item, dict):
            for name, member in item.items():
                pending.append((name, depth + 1))
                pending.append((member, depth + 1))
        elif isinstance(item, list):
            for member in item:
                pending.append((member, depth + 1))
    return True


def _is_encodable(text):
    if text.isascii():
        return True
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _replace_nested(text):
    """Replace what is nested more deeply than ``MAX_DEPTH``, without recursion."""
    parts = []
    depth = 0
    kept_from = 0
    for token in _TOKEN.finditer(text):
        character = token[0]
        if character in "[{":
            depth += 1
            if depth == MAX_DEPTH + 1:
                parts.append(text[kept_from : token.start()])
        elif character in "]}":
            if depth == MAX_DEPTH + 1:
                parts.append(_UNREADABLE_TEXT)
                kept_from = token.end()
            depth -= 1
    if depth > MAX_DEPTH:
        raise ValueError("the document ends inside a nested value")
    parts.append(text[kept_from:])
    return "".join(parts)


def _parse_int(text):
    # The number of digits that ``int`` accepts is limited.
    if len(text) > _MAX_DIGITS:
        return UNREADABLE
    number = int(text)
    return number if MIN_INTEGER <= number <= MAX_INTEGER else UNREADABLE


def _parse_float(text):
    number = float(text)
    return number if math.isfinite(number) else UNREADABLE


_DECODER = json.JSONDecoder(
    parse_int=_parse_int,
    parse_float=_parse_float,
    parse_constant=lambda name: UNREADABLE,
)
