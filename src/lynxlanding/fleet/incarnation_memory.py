"""What is remembered of incarnations that have ended or are ending."""

# Enough for several days of replacements.
MAX_REMEMBERED = 5000


class IncarnationMemory:
    """Incarnations that must not be mistaken for live ones when a late write names them."""

    def __init__(self):
        # Keyed by endpoint id and start time.
        self._leaving = {}
        # Latest start time of an incarnation that has ended, by endpoint id.
        self._latest_ended_ms = {}

    def record_leaving(self, record):
        """Record that an incarnation has announced its shutdown."""
        _remember(self._leaving, (record.endpoint_id, record.started_ms), True)

    def record_ended(self, record):
        """Record that an incarnation was replaced or that its entry was removed."""
        known_ms = self._latest_ended_ms.get(record.endpoint_id, record.started_ms)
        latest_ms = max(known_ms, record.started_ms)
        _remember(self._latest_ended_ms, record.endpoint_id, latest_ms)

    def is_leaving(self, record):
        """Return whether the incarnation has announced its shutdown."""
        return (record.endpoint_id, record.started_ms) in self._leaving

    def may_have_ended(self, record):
        """Return whether the incarnation started no later than one that has ended.

        Start times are those of the endpoint's clock, so that this proves nothing.
        """
        latest_ms = self._latest_ended_ms.get(record.endpoint_id)
        return latest_ms is not None and record.started_ms <= latest_ms


def _remember(memory, key, value):
    """Store a value as the newest; drop the oldest if there are too many."""
    memory.pop(key, None)
    memory[key] = value
    while len(memory) > MAX_REMEMBERED:
        del memory[next(iter(memory))]
