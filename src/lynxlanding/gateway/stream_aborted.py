"""Exception that makes the HTTP server abort a started response."""

from lynxlanding.errors import base


class StreamAborted(base.LynxlandingError):
    """A started response cannot be completed; the server closes the connection."""

    type_name = "stream_aborted"
