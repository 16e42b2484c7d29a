"""Splits a header line of HTTP into name and value."""

import re

# As in RFC 9110, section 5.5. No two adjacent parts match the same byte, so that a line is matched
# in a number of steps that grows linearly with its length, also if it is malformed.
_PATTERN = re.compile(rb"(?P<name>[!#$%&'*+\-.^_`|~0-9A-Za-z]+):(?P<value>[\t\x20-\x7e\x80-\xff]*)")
_WHITESPACE = b" \t"


def parse(line):
    """Return name and value of a header line, or None if it is malformed.

    Parameters
    ----------
    line : bytes
        Line without its line break.

    Returns
    -------
    (bytes, bytes) or None
        The name as sent, and the value without the whitespace around it.
    """
    match = _PATTERN.fullmatch(line)
    if match is None:
        return None
    return match["name"], match["value"].strip(_WHITESPACE)
