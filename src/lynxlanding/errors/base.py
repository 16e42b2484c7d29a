"""Root of the exception hierarchy."""


class LynxlandingError(Exception):
    """Root of every failure that lynxlanding raises.

    Attributes
    ----------
    type_name : str
        Stable name of the failure, used in response bodies and logs.
    """

    type_name = "internal_error"
