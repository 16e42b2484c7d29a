"""The configuration as the admin API uses it."""

from lynxlanding.configuration import change
from lynxlanding.operators import history_entry


class ConfigurationAccess:
    """``operators.ports.ConfigurationPort`` over the control plane.

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
        """Return the revision in effect on this node."""
        return self._configuration.current().get()

    def find_change(self, change_id):
        """Return the accepted change with this id, as the store knows it."""
        found = self._changes.find_change(change_id)
        return None if found is None else _to_entry(found)

    def validate(self, request):
        """Return what is wrong with a change; nothing is written."""
        return self._changes.plan(_to_change(request)).problems

    def commit(self, request):
        """Accept a change and return its revision and outcome; see ``ChangeService.commit``."""
        return self._changes.commit(_to_change(request))

    def history(self, limit):
        """Return the last accepted changes, newest first."""
        return [_to_entry(found) for found in self._changes.history(limit)]


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
