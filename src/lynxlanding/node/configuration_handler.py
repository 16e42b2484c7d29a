"""Activates newer versions of the configuration."""

import threading

import eliot

from lynxlanding.errors import platform as platform_errors
from lynxlanding.platform import configuration_codec

CONFIGURATION_ACTIVATED = "lynxlanding:configuration:in_force"
CONFIGURATION_SKIPPED = "lynxlanding:configuration:skipped"


class ConfigurationHandler:
    """``WatchHandler`` of the configuration.

    Parameters
    ----------
    serving : ServingActor proxy
        Bases its decisions on the configuration.
    node_status : NodeStatus
        Provides the configuration to request threads.
    on_change : callable
        Called with each configuration that becomes active.
    copies : ConfigurationCopies
        Receives each configuration that becomes active, to pass it on.
    """

    def __init__(self, serving, node_status, on_change, copies):
        self._serving = serving
        self._node_status = node_status
        self._on_change = on_change
        self._copies = copies
        # Configurations come from the store and from other nodes.
        self._lock = threading.Lock()

    def on_list(self, objects, version, now, was_outage):
        """Activate the listed configuration if it is newer."""
        del version, now, was_outage
        self._activate_newer(objects)

    def on_changes(self, puts, deletes, version, now, was_outage):
        """Activate the newest configuration among the changes."""
        del deletes, version, now, was_outage
        self._activate_newer(puts)

    def on_store_rolled_back(self):
        """Keep the active configuration; an older one is never activated."""

    def on_store_unavailable(self):
        """Keep the active configuration."""

    def _activate_newer(self, objects):
        """Activate the newest valid configuration if it is newer than the active one."""
        found = [stored for stored in objects if stored.name == configuration_codec.NAME]
        with self._lock:
            for stored in found:
                self._copies.record_read(stored.version)
            previous = self._node_status.configuration_version
            configuration, stored = _find_newest(found, previous)
            if configuration is None:
                return
            self._serving.use_configuration(configuration).get()
            self._node_status.use_configuration(configuration)
            self._copies.record_own(configuration.version, stored)
        eliot.log_message(
            message_type=CONFIGURATION_ACTIVATED,
            version=configuration.version,
            previous=previous,
            store_version=str(stored.version),
        )
        self._on_change(configuration)


def _find_newest(objects, previous):
    """Return the newest valid one of some configurations, and its ``StoredObject``.

    Both are None if no valid one is newer than the version ``previous``. Only the newest is decoded
    as a whole, since a node that has been away finds many.
    """
    found = []
    for stored in objects:
        try:
            version = configuration_codec.decode_version(stored.value)
        except platform_errors.MalformedEntry as e:
            _log_skipped(stored, e)
            continue
        if previous is None or version > previous:
            found.append((version, stored))
    found.sort(key=lambda item: item[0], reverse=True)
    for _, stored in found:
        try:
            return configuration_codec.decode(stored.value), stored
        except platform_errors.MalformedEntry as e:
            _log_skipped(stored, e)
    return None, None


def _log_skipped(stored, error):
    eliot.log_message(
        message_type=CONFIGURATION_SKIPPED, version=str(stored.version), reason=str(error)
    )
