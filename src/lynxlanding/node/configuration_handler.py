"""Activates newer versions of the configuration."""

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
    """

    def __init__(self, serving, node_status, on_change):
        self._serving = serving
        self._node_status = node_status
        self._on_change = on_change

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
        for stored in objects:
            if stored.name != configuration_codec.NAME:
                continue
            try:
                configuration = configuration_codec.decode(stored.value)
            except platform_errors.MalformedEntry as e:
                eliot.log_message(
                    message_type=CONFIGURATION_SKIPPED, version=str(stored.version), reason=str(e)
                )
                continue
            previous = self._node_status.configuration_version
            if previous is not None and configuration.version <= previous:
                continue
            self._serving.use_configuration(configuration).get()
            self._node_status.use_configuration(configuration)
            eliot.log_message(
                message_type=CONFIGURATION_ACTIVATED,
                version=configuration.version,
                previous=previous,
            )
            self._on_change(configuration)
