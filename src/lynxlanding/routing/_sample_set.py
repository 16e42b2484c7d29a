"""Set with constant-time insertion, removal and random choice."""


class SampleSet:
    """Set that draws a random element in constant time.

    The elements are kept in a list; removal moves the last element into the gap.
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
        """Add an element; returns whether it was absent."""
        if item in self._positions:
            return False
        self._positions[item] = len(self._items)
        self._items.append(item)
        return True

    def discard(self, item):
        """Remove an element; returns whether it was present."""
        position = self._positions.pop(item, None)
        if position is None:
            return False
        last = self._items.pop()
        if position < len(self._items):
            self._items[position] = last
            self._positions[last] = position
        return True

    def draw(self, random_state):
        """Return a random element of a set that is not empty."""
        return self._items[int(random_state.random() * len(self._items))]
