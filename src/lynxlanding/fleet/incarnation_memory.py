"""What is remembered of incarnations that have ended or are ending."""

# Enough for several days of replacements.
MAX_REMEMBERED = 5000


class IncarnationMemory:
    """Incarnations that must not be mistaken for live ones when a late write names them."""

    def __init__(self):
        # Keyed by endpoint id and start time.
        self._leaving = {}
        self._replaced = {}
        # Start times by endpoint id.
        self._removed = {}

    def record_leaving(self, record):
        """Record that an incarnation has announced its shutdown."""
        _remember(self._leaving, _key(record), True)

    def record_replaced(self, record):
        """Record that another incarnation has taken the place of this one."""
        _remember(self._replaced, _key(record), True)

    def record_removed(self, record):
        """Record that the entry of an incarnation was removed."""
        _remember(self._removed, record.endpoint_id, record.started_ms)

    def is_leaving(self, record):
        """Return whether the incarnation has announced its shutdown."""
        return _key(record) in self._leaving

    def may_have_ended(self, record):
        """Return whether the incarnation was replaced, or started before one that was removed.

        Start times are those of the endpoint's clock, so an earlier one proves nothing.
        """
        if _key(record) in self._replaced:
            return True
        removed_start_ms = self._removed.get(record.endpoint_id)
        return removed_start_ms is not None and record.started_ms <= removed_start_ms


def _key(record):
    return record.endpoint_id, record.started_ms


def _remember(memory, key, value):
    """Store a value as the newest; drop the oldest if there are too many."""
    memory.pop(key, None)
    memory[key] = value
    while len(memory) > MAX_REMEMBERED:
        del memory[next(iter(memory))]
