"""Applies what other nodes report."""

from lynxlanding.dispatch import request_logger
from lynxlanding.fleet import evacuated_data_centres
from lynxlanding.store import store_version


class PeerReportHandler:
    """Passes the parts of reports and digests on to the owners of the state.

    Parameters
    ----------
    serving : ServingActor proxy
        Receives loads, limits and ends of endpoints.
    table : PeerTable
        The other nodes.
    view : PeerView
        Resolves the hashes of endpoints.
    part_guard : PartGuard
        Receives what peers state about parts of prompts.
    leavings : StatedLeavings
        Endpoints that are leaving by their own responses.
    cold : ColdEngines
        Receives what peers know about cold engines.
    on_leaving : callable
        Called with id and start time of an endpoint that is leaving.
    on_stalled : callable
        Called without arguments after a peer has reported stalled endpoints.
    copies : ConfigurationCopies
        Learns which peers have a newer configuration.
    evacuations : EvacuationHandler, optional
        Receives what peers have read about evacuations; None if this node does not watch them.
    """

    def __init__(
        self,
        serving,
        table,
        view,
        part_guard,
        leavings,
        cold,
        on_leaving,
        on_stalled,
        copies,
        evacuations=None,
    ):
        self._serving = serving
        self._table = table
        self._view = view
        self._part_guard = part_guard
        self._leavings = leavings
        self._cold = cold
        self._on_leaving = on_leaving
        self._on_stalled = on_stalled
        self._copies = copies
        self._evacuations = evacuations

    def on_report(self, report, now):
        """Apply a ``PeerReport`` that arrived at ``now``, in monotonic seconds."""
        self._record_holders([report.node_id], report.configuration_version)
        requests_by_endpoint = self._view.apply(report, now)
        self._apply_statements(report, now)
        prompts = report.prompts.shift(now)
        self._part_guard.apply_peer(prompts, report.node_id, now)
        for endpoint_id, started_ms in self._view.resolve_ends(prompts):
            self._serving.record_ended(endpoint_id, started_ms, now)
        if requests_by_endpoint is not None:
            self._serving.apply_peer_load(report.node_id, requests_by_endpoint, now)

    def on_digest(self, digest, own, now):
        """Apply a ``ReportDigest`` that includes the ``OwnContribution`` of this node."""
        member_ids = []
        for member in digest.members:
            node_id = self._table.find_node_id(member.key)
            if node_id is not None:
                member_ids.append(node_id)
        holder_ids = map(self._table.find_node_id, digest.configuration_holders)
        self._record_holders(holder_ids, digest.configuration_version)
        requests_by_endpoint = self._view.apply_digest(digest, member_ids, own, now)
        self._apply_statements(digest, now)
        self._serving.apply_digest_load(digest.node_id, member_ids, requests_by_endpoint, now)

    def _record_holders(self, node_ids, version):
        """Record which nodes have a newer configuration."""
        if version <= self._copies.number:
            return
        for address in self._table.copy_addresses(node_ids, version):
            self._copies.record_holder(address, version)

    def _apply_statements(self, source, now):
        """Apply what a report or a digest says about endpoints and data centres."""
        if self._evacuations is not None and source.evacuations is not None:
            reading = _make_reading(source.evacuations, now)
            self._evacuations.record_report(reading, source.node_id, now)
        if source.stalled:
            self._on_stalled()
        statements = self._view.resolve_limits(source, now)
        if statements:
            changes = self._serving.apply_peer_statements(source.node_id, statements, now).get()
            for change in changes:
                request_logger.log_limit_changed(change)
        for statement in self._view.resolve_cold(source, now):
            self._cold.record_peer(statement, source.node_id, now)
        for leaving in self._view.resolve_leavings(source, now):
            if not self._leavings.record_peer(leaving):
                continue
            request_logger.log_leaving_stated(
                leaving.endpoint_id, leaving.started_ms, source.node_id, now - leaving.stated_at
            )
            self._on_leaving(leaving.endpoint_id, leaving.started_ms)


def _make_reading(reported, now):
    """Return the ``EvacuationReading`` of a report, with its time by this node's clock."""
    return evacuated_data_centres.EvacuationReading(
        frozenset(reported.data_centres),
        store_version.StoreVersion(reported.era, reported.revision),
        now - reported.age_ms / 1000,
    )
