"""Puts newer configurations in force."""

import eliot

from lynxlanding.errors import platform as platform_errors
from lynxlanding.platform import configuration_codec

IN_FORCE = "lynxlanding:configuration:in_force"
SKIPPED = "lynxlanding:configuration:skipped"


class ConfigurationHandler:
    """``FollowerHandler`` of the configuration.

    Parameters
    ----------
    serving : ServingActor proxy
        Uses the configuration for its decisions.
    view : NodeView
        Holds the configuration for request threads.
    on_change : callable
        Called with a configuration that came into force.
    """

    def __init__(self, serving, view, on_change):
        self._serving = serving
        self._view = view
        self._on_change = on_change

    def on_list(self, objects, version, now, was_outage):
        """Use the configuration of a list."""
        del version, now, was_outage
        self._use(objects)

    def on_changes(self, puts, deletes, now, was_outage):
        """Use the newest configuration among changes."""
        del deletes, now, was_outage
        self._use(puts)

    def on_lost(self):
        """Keep the configuration in force."""

    def _use(self, objects):
        for item in objects:
            if item.name != configuration_codec.NAME:
                continue
            try:
                configuration = configuration_codec.decode(item.value)
            except platform_errors.MalformedEntry as e:
                eliot.log_message(message_type=SKIPPED, version=item.version, reason=str(e))
                continue
            previous = self._view.configuration_version
            if previous is not None and configuration.version <= previous:
                continue
            self._serving.use_configuration(configuration).get()
            self._view.use_configuration(configuration)
            eliot.log_message(
                message_type=IN_FORCE, version=configuration.version, previous=previous
            )
            self._on_change(configuration)
