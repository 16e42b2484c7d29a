"""Puts large feed messages together from the datagrams that carry their fragments."""

import dataclasses

# A relay sends all fragments of a message at once.
ASSEMBLY_TIMEOUT_S = 1.0
# Bounds the memory for messages of which a fragment is lost; the oldest are dropped.
MAX_INCOMPLETE = 8


@dataclasses.dataclass(slots=True, frozen=True)
class Fragment:
    """Part of an encoded message.

    Parameters
    ----------
    checksum : int
        CRC-32 of the encoded message; tells the messages apart.
    index, count : int
        Position of the part, and number of parts.
    data : bytes
        Bytes of the part.
    """

    checksum: int
    index: int
    count: int
    data: bytes


@dataclasses.dataclass(slots=True)
class _Incomplete:
    count: int
    started_at: float
    parts: dict


class FragmentAssembler:
    """Collects fragments; performs no I/O."""

    def __init__(self):
        self._incomplete = {}

    def add(self, fragment, now):
        """Add a fragment; return the encoded message if it was the last missing one."""
        message = self._incomplete.get(fragment.checksum)
        is_over = message is not None and now - message.started_at >= ASSEMBLY_TIMEOUT_S
        if message is None or is_over or message.count != fragment.count:
            self._incomplete.pop(fragment.checksum, None)
            message = _Incomplete(fragment.count, now, {})
            self._incomplete[fragment.checksum] = message
            if len(self._incomplete) > MAX_INCOMPLETE:
                self._incomplete.pop(next(iter(self._incomplete)))
        message.parts[fragment.index] = fragment.data
        if len(message.parts) < message.count:
            return None
        self._incomplete.pop(fragment.checksum, None)
        return b"".join(message.parts[index] for index in range(message.count))
