"""Response to a caller."""


class Reply:
    """Response to the caller.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : list of (str, str)
        Headers for the caller.
    body : bytes or None
        Whole body; None for a stream.
    stream : iterator of bytes or None
        Events as they arrive.
    """

    __slots__ = ("body", "headers", "status", "stream")

    def __init__(self, status, headers, body=None, stream=None):
        self.status = status
        self.headers = headers
        self.body = body
        self.stream = stream
