"""Body of a streamed response."""


class StreamBody:
    """Iterator over a started generator.

    A generator that was never advanced skips its ``finally`` blocks when it is closed. This
    object holds one that has already produced its first part, so that closing it always frees
    the endpoint.

    Parameters
    ----------
    first : bytes
        The part that was produced already.
    rest : generator of bytes
        The started generator.
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
        """Stop the stream."""
        self._rest.close()
