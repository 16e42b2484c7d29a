"""Set with constant-time insertion, removal and random selection."""


class SampleSet:
    """Set that returns a random element in constant time.

    The elements are stored in a list; a removed element is replaced by the last one.
    """

    def __init__(self):
        self._items = []
        self._positions = {}

    def __len__(self):
        return len(self._items)

    def __contains__(self, item):
        return item in self._positions

    def __iter__(self):
        return iter(self._items)

    def add(self, item):
        """Add an element; return whether it was absent."""
        if item in self._positions:
            return False
        self._positions[item] = len(self._items)
        self._items.append(item)
        return True

    def discard(self, item):
        """Remove an element; return whether it was present."""
        position = self._positions.pop(item, None)
        if position is None:
            return False
        last = self._items.pop()
        if position < len(self._items):
            self._items[position] = last
            self._positions[last] = position
        return True

    def draw(self, random_state):
        """Return a random element; the set must not be empty."""
        return self._items[int(random_state.random() * len(self._items))]
