"""Response to a caller."""


class Reply:
    """Response to the caller: either a complete body or a stream.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : list of (str, str)
        Headers for the caller.
    body : bytes or None
        Complete body; None for a stream.
    stream : iterator of bytes or None
        Server-sent events as they arrive; None for a complete body.
    """

    __slots__ = ("body", "headers", "status", "stream")

    def __init__(self, status, headers, body=None, stream=None):
        self.status = status
        self.headers = headers
        self.body = body
        self.stream = stream
