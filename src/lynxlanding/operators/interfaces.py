"""Interfaces that the admin API requires from the rest of the node."""

from typing import Protocol

from lynxlanding.configuration import commit, snapshot
from lynxlanding.errors import configuration as configuration_errors
from lynxlanding.operators import change_request, history_entry
from lynxlanding.operators.view import cluster_view


class ConfigurationService(Protocol):
    """Reads the configuration and commits changes to it.

    Every method except ``snapshot`` may raise ``errors.platform.StoreUnavailable``.
    """

    def snapshot(self) -> snapshot.Snapshot:
        """Return the revision in effect on this node."""
        ...

    def find_change(self, change_id: str) -> history_entry.HistoryEntry | None:
        """Return the accepted change with this id from the store, or None."""
        ...

    def validate(
        self, request: change_request.ChangeRequest
    ) -> list[configuration_errors.InvalidObject]:
        """Return the validation errors of a change without writing anything."""
        ...

    def commit(self, request: change_request.ChangeRequest) -> commit.CommitResult:
        """Commit a change and return its revision and outcome.

        Raises ``InvalidObject``, ``RevisionConflict``, ``StoreNotConfirmed`` or
        ``CommitOutcomeUnknown``.
        """
        ...

    def history(self, limit: int) -> list[history_entry.HistoryEntry]:
        """Return the last accepted changes, newest first."""
        ...


class ViewSource(Protocol):
    """Provides the tables that queries read."""

    def cluster_view(self, attributes: set[str]) -> cluster_view.ClusterView:
        """Return the current state of the cluster as this node sees it.

        Only the tables named in ``attributes``, the field names of ``ClusterView``, are
        collected, since some of them require calls to other nodes.
        """
        ...


class BurnReportSource(Protocol):
    """Provides the burn-rate report of the service-level objectives."""

    def burn_report(self) -> dict:
        """Return the burn-rate report as a JSON document; may raise ``StoreUnavailable``."""
        ...
