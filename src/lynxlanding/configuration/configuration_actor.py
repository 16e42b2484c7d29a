"""Owner of the accepted configuration on one node."""

import logging

import pykka

from lynxlanding.configuration import snapshot
from lynxlanding.errors import base as errors_base

HEAD_KIND = "config-head"
HEAD_NAME = "current"

_logger = logging.getLogger(__name__)


class ConfigurationActor(pykka.ThreadingActor):
    """Holds the newest snapshot; it never moves to a lower revision.

    Parameters
    ----------
    reader : RevisionReader
        Reads revisions from the store.
    on_change : callable
        Called with each new snapshot.
    """

    def __init__(self, reader, on_change):
        super().__init__()
        self._reader = reader
        self._on_change = on_change
        self._snapshot = snapshot.empty()
        self._is_loaded = False

    def current(self):
        """Return the newest snapshot."""
        return self._snapshot

    def is_loaded(self):
        """Return whether a revision was read."""
        return self._is_loaded

    def refresh(self):
        """Read the head and move to it if it is newer."""
        try:
            newest = self._reader.read(self._snapshot.revision)
        except errors_base.LynxlandingError as e:
            _logger.warning("cannot read the configuration: %s", e)
            return
        if newest is None:
            return
        self._snapshot = newest
        self._is_loaded = True
        self._on_change(newest)
