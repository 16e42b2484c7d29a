"""Settings file of a node, which may change while the node runs."""

import logging
import os

from lynxlanding.errors import settings as settings_errors
from lynxlanding.settings import loading, vm_settings

_logger = logging.getLogger(__name__)


class SettingsFile:
    """Notices changes of the settings file and reads it again.

    Parameters
    ----------
    path : str
        The file.
    """

    def __init__(self, path):
        self._path = path
        self._mtime_ns = None

    def has_changed(self):
        """Return whether the file has been written since the last call."""
        try:
            mtime_ns = os.stat(self._path).st_mtime_ns
        except OSError as e:
            _logger.warning("cannot read the settings file: %s", e)
            return False
        if self._mtime_ns is None:
            self._mtime_ns = mtime_ns
        if mtime_ns == self._mtime_ns:
            return False
        self._mtime_ns = mtime_ns
        return True

    def load(self):
        """Return the ``VmSettings`` in the file; None if they are not valid, which is logged."""
        try:
            return loading.load(self._path, vm_settings.VmSettings)
        except settings_errors.SettingsError as e:
            _logger.error("settings not reloaded: %s", e)
            return None
