"""What is remembered of incarnations that have ended or are ending."""

# Enough for several days of replacements.
MAX_REMEMBERED = 5000


class IncarnationMemory:
    """Incarnations that must not be mistaken for live ones when a late write names them."""

    def __init__(self):
        # Keyed by endpoint id and start time.
        self._leaving = {}
        # Ids of endpoints of which an incarnation has ended.
        self._ended = {}

    def record_leaving(self, endpoint_id, started_ms):
        """Record that an incarnation has announced its shutdown."""
        _remember(self._leaving, (endpoint_id, started_ms), True)

    def record_ended(self, record):
        """Record that an incarnation was replaced or that its entry was removed."""
        _remember(self._ended, record.endpoint_id, True)

    def is_leaving(self, record):
        """Return whether the incarnation has announced its shutdown."""
        return (record.endpoint_id, record.started_ms) in self._leaving

    def may_have_ended(self, record):
        """Return whether the record may be a late write of an incarnation that has ended.

        That holds once any incarnation of the endpoint has ended. Which of two incarnations is the
        later one cannot be told, since start times are those of the endpoint's clock.
        """
        return record.endpoint_id in self._ended


def _remember(memory, key, value):
    """Store a value as the newest; drop the oldest if there are too many."""
    memory.pop(key, None)
    memory[key] = value
    while len(memory) > MAX_REMEMBERED:
        del memory[next(iter(memory))]
