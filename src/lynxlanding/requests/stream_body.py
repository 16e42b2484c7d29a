"""Body of a streaming response."""


class StreamBody:
    """Iterator over a generator that has already been started.

    Closing a generator that was never advanced skips its ``finally`` blocks. The generator here has
    already yielded its first part, so that closing it always releases the endpoint.

    Parameters
    ----------
    first : bytes
        Part that the generator has already yielded.
    rest : generator of bytes
        The generator.
    """

    def __init__(self, first, rest):
        self._first = first
        self._rest = rest

    def __iter__(self):
        return self

    def __next__(self):
        if self._first is not None:
            first = self._first
            self._first = None
            return first
        return next(self._rest)

    def close(self):
        """Close the stream."""
        self._rest.close()
