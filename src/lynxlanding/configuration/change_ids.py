"""Change ids that contain their creation time.

The time limits how far back the revision chain must be read to find out whether a change with
the id was accepted.
"""

import re

_PATTERN = re.compile(r"t([0-9a-f]{11})-[0-9a-f]{16}")
ACCEPTED_PATTERN = re.compile(r"[0-9A-Za-z._-]{1,64}")


def generate(now, random_state):
    """Return a new change id.

    Parameters
    ----------
    now : float
        UNIX seconds.
    random_state : numpy.random.Generator
        Source of the 64 random bits.
    """
    return f"t{int(now * 1000):011x}-{random_state.bytes(8).hex()}"


def issued_at(change_id):
    """Return the creation time in UNIX seconds, or None if the id contains none."""
    match = _PATTERN.fullmatch(change_id)
    return int(match.group(1), 16) / 1000 if match else None
