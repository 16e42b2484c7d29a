"""Signal to the HTTP server that a started response must be cut."""

from lynxlanding.errors import base


class StreamAborted(base.LynxlandingError):
    """A started response cannot be completed; the server closes the connection."""

    type_name = "stream_aborted"
