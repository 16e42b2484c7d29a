"""Counts of the datagrams between nodes."""


class DatagramCounts:
    """Number and size of datagrams since the start of the process."""

    def __init__(self):
        self._datagrams = 0
        self._bytes = 0

    @property
    def datagrams(self):
        """Number of datagrams."""
        return self._datagrams

    @property
    def bytes(self):
        """Their contents, in bytes."""
        return self._bytes

    def add(self, data):
        """Count a datagram."""
        self._datagrams += 1
        self._bytes += len(data)
