"""Errors in the daemon's settings file."""

from lynxlanding.errors import base


class SettingsError(base.LynxlandingError):
    """A settings file cannot be used.

    Parameters
    ----------
    path : str
        Path of the offending key, such as ``listen.port``, or of the file itself.
    reason : str
        Why the key is invalid.
    """

    type_name = "settings_error"

    def __init__(self, path, reason):
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason
