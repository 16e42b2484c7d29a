"""Base class of the exception hierarchy."""


class LynxlandingError(Exception):
    """Base class of all exceptions that lynxlanding defines.

    Attributes
    ----------
    type_name : str
        Stable name of the error in response bodies, logs and metrics.
    """

    type_name = "internal_error"
