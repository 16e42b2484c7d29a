"""What the admin API needs from the rest of the node."""

from typing import Protocol

from lynxlanding.configuration import commit, snapshot
from lynxlanding.errors import configuration as configuration_errors
from lynxlanding.operators import change_request, history_entry
from lynxlanding.operators.view import cluster_view


class ConfigurationPort(Protocol):
    """Accepted configuration and its changes.

    Every method but ``snapshot`` may raise ``errors.platform.StoreUnavailable``.
    """

    def snapshot(self) -> snapshot.Snapshot:
        """Return the revision in effect on this node."""
        ...

    def find_change(self, change_id: str) -> history_entry.HistoryEntry | None:
        """Return the accepted change with this id, as the store knows it."""
        ...

    def validate(
        self, request: change_request.ChangeRequest
    ) -> list[configuration_errors.InvalidObject]:
        """Return what is wrong with a change; nothing is written."""
        ...

    def commit(self, request: change_request.ChangeRequest) -> commit.CommitResult:
        """Accept a change and return its revision and outcome.

        Raises ``InvalidObject``, ``RevisionConflict``, ``StoreNotConfirmed`` or
        ``CommitOutcomeUnknown``.
        """
        ...

    def history(self, limit: int) -> list[history_entry.HistoryEntry]:
        """Return the last accepted changes, newest first."""
        ...


class ViewSource(Protocol):
    """Gathers the tables that queries read."""

    def cluster_view(self, attributes: set[str]) -> cluster_view.ClusterView:
        """Return the cluster as this node sees it now.

        Only the named tables are gathered, since some of them need calls to other nodes.
        """
        ...


class BurnSource(Protocol):
    """Gathers the burn report."""

    def burn_report(self) -> dict:
        """Return the burn report as a JSON document; may raise ``StoreUnavailable``."""
        ...
