"""Adapter from the control plane to the configuration service of the admin API."""

from lynxlanding.configuration import change
from lynxlanding.operators import history_entry


class ConfigurationAccess:
    """Implementation of ``operators.interfaces.ConfigurationService`` on the control plane.

    Parameters
    ----------
    changes : ChangeService
        Plans, commits and lists changes.
    configuration : ConfigurationActor proxy
        Holds the snapshot in effect.
    """

    def __init__(self, changes, configuration):
        self._changes = changes
        self._configuration = configuration

    def snapshot(self):
        """Return the snapshot in effect on this node."""
        return self._configuration.current().get()

    def find_change(self, change_id):
        """Return the accepted change with this id from the store, or None."""
        accepted = self._changes.find_change(change_id)
        return None if accepted is None else _to_entry(accepted)

    def validate(self, request):
        """Return the problems of a change without writing anything."""
        return self._changes.plan(_to_change(request)).problems

    def commit(self, request):
        """Accept a change and return its revision and outcome; see ``ChangeService.commit``."""
        return self._changes.commit(_to_change(request))

    def history(self, limit):
        """Return the last accepted changes, newest first."""
        return [_to_entry(accepted) for accepted in self._changes.history(limit)]


def _to_change(request):
    return change.Change(
        request.change_id,
        request.author,
        dict(request.change.puts),
        tuple(sorted(request.change.deletes)),
        (request.statements,),
        request.base_revision,
    )


def _to_entry(revision):
    return history_entry.HistoryEntry(
        revision.number,
        revision.change_id,
        revision.author,
        revision.time,
        "\n".join(revision.statements),
    )
