"""Actor that owns the endpoint registry and the dispatcher."""

import pykka

from lynxlanding.errors import endpoint as endpoint_errors
from lynxlanding.fleet import endpoint_change, fleet_snapshot

# Failures that count against the endpoint's health.
_HEALTH_FAILURES = (
    endpoint_errors.AttemptTimedOut,
    endpoint_errors.ConnectionBroken,
    endpoint_errors.ConnectionRefused,
    endpoint_errors.EndpointRefused,
    endpoint_errors.ResponseTruncated,
)
_STARTS = frozenset({endpoint_change.ADDED, endpoint_change.RESTARTED})


class ServingActor(pykka.ThreadingActor):
    """Serializes access by request threads, store watches and peer reports.

    Parameters
    ----------
    registry : EndpointRegistry
        Known endpoints.
    dispatcher : Dispatcher
        Selects endpoints and counts requests.
    statement_gate : StatementGate
        Keeps requests to what endpoints state about themselves.
    """

    use_daemon_thread = True

    def __init__(self, registry, dispatcher, statement_gate):
        super().__init__()
        self._registry = registry
        self._dispatcher = dispatcher
        self._statement_gate = statement_gate

    def use_configuration(self, configuration):
        """Switch to a newer configuration."""
        self._dispatcher.use_configuration(configuration)
        self._statement_gate.limits.cold_engines.use_services(configuration.services)

    def apply_list(self, records, version, now, was_outage):
        """Replace the contents of the registry by a complete list; return the changes."""
        is_first_list = self._registry.read_at is None
        self._registry.on_store_available(now, was_outage)
        changes = self._registry.apply_list(records, now, version)
        self._update_cold_engines(changes, records, now, is_first_list)
        return self._update_candidates(changes)

    def apply_changes(self, records, removed_ids, version, now, was_outage):
        """Apply the events of a watch; return the changes."""
        self._registry.on_store_available(now, was_outage)
        changes = self._registry.apply_changes(records, removed_ids, now, version)
        self._update_cold_engines(changes, records, now)
        return self._update_candidates(changes)

    def on_store_rolled_back(self):
        """Record that the next list comes from an older copy of the store."""
        self._registry.on_store_rolled_back()

    def on_store_unavailable(self):
        """Record that the store does not respond."""
        self._registry.on_store_unavailable()

    def use_evacuated(self, data_centres):
        """Set the data centres whose endpoints get no requests."""
        self._dispatcher.use_evacuated(data_centres)

    def expire(self, now):
        """Remove expired endpoints and peer counts; return the changes of the registry."""
        self._dispatcher.load_tracker.expire_peers(now)
        changes = self._registry.expire(now)
        self._update_cold_engines(changes, (), now)
        return self._update_candidates(changes)

    def records_to_check(self):
        """Return the records of endpoints whose requests depend on a health check."""
        return self._registry.records_to_check()

    def confirm(self, endpoint_id, started_ms):
        """Record that an incarnation serves; return the changes of the registry."""
        return self._update_candidates(self._registry.confirm(endpoint_id, started_ms))

    def record_failed_check(self, endpoint_id, started_ms, now):
        """Record that an incarnation did not answer a health check as one that serves."""
        self._registry.record_failed_check(endpoint_id, started_ms, now)

    def record_leaving(self, endpoint_id, started_ms):
        """Record that an incarnation says that it is leaving; return the registry's changes."""
        return self._update_candidates(self._registry.record_leaving(endpoint_id, started_ms))

    def fleet_snapshot(self):
        """Return a ``FleetSnapshot`` with a copy of the records."""
        registry = self._registry
        return fleet_snapshot.FleetSnapshot(
            dict(registry.records), registry.is_store_available, registry.version, registry.read_at
        )

    def own_load(self):
        """Return the node's requests in flight by endpoint id."""
        return dict(self._dispatcher.load_tracker.own_counts)

    def apply_peer_load(self, peer_id, counts, now):
        """Replace the counts of a peer's requests in flight by endpoint id."""
        self._dispatcher.load_tracker.replace_peer_counts(peer_id, counts, now)

    def apply_digest_load(self, gatherer_id, member_ids, counts, now):
        """Replace the sum of the requests in flight of a gatherer's members by endpoint id."""
        self._dispatcher.load_tracker.replace_digest_counts(gatherer_id, member_ids, counts, now)

    def use_retry_limits(self, retry_limits):
        """Switch to another retry limit: ratio, slack and window in seconds."""
        self._dispatcher.use_retry_limits(retry_limits)

    def use_node_count(self, nodes):
        """Set the number of nodes that share the retry limit."""
        self._dispatcher.use_node_count(nodes)

    def record_request(self, service, model, work, now, priority=0):
        """Record a request from a caller."""
        self._dispatcher.record_request(service, model, work, now, priority)

    def use_demand(self, busy_groups):
        """Set the number of groups that the requests at all nodes would keep busy, by model."""
        self._dispatcher.use_demand(busy_groups)

    def shed_total(self):
        """Return the number of requests refused because capacity was short."""
        return self._dispatcher.load_shedding.shed_total

    def busy_groups(self, now):
        """Return the mean number of groups that this node's requests keep busy, by model."""
        return self._dispatcher.busy_groups(now)

    def try_acquire_retry(self, service, now):
        """Consume one retry of the node's budget if available; return whether it was."""
        return self._dispatcher.try_acquire_retry(service, now)

    def try_acquire_failover(self, query, now):
        """Consume one retry if another endpoint could serve the request immediately.

        Returns whether a retry was consumed.
        """
        return self._dispatcher.try_acquire_failover(query, now)

    def choose(self, query, now):
        """Return ``Send`` or ``Refuse`` for a request."""
        return self._dispatcher.choose(query, now)

    def may_send(self, record, now, *, is_counted):
        """Return whether the incarnation in ``record`` still accepts a request.

        ``is_counted`` says whether the request is already counted in this node's allowance.
        """
        known = self._registry.get(record.endpoint_id)
        is_same = known is not None and known.started_ms == record.started_ms
        if not is_same or not known.accepts_requests or self._dispatcher.is_evacuated(known):
            return False
        return self._statement_gate.may_send(record, now, is_counted=is_counted)

    def may_check(self, record, now):
        """Count a health check, which reaches the endpoint like a request; return if allowed."""
        return self._statement_gate.may_send(record, now)

    def use_fleet_placement(self, is_forced):
        """Place requests as in a large fleet or not; None lets the number of nodes decide."""
        self._dispatcher.fleet_placement.use_setting(is_forced)

    def held_heads(self, now):
        """Return the number of heads that get no requests because they have rejected some."""
        return self._dispatcher.fleet_placement.count_held(now)

    def use_live_nodes(self, node_ids, known_ids, now):
        """Set the nodes that share the limits of endpoints; return the ``AllowanceChange``s.

        Limits that endpoints state are shared by the live nodes, those of cold engines by all known
        ones.
        """
        return self._statement_gate.allowance.use_live_nodes(node_ids, now, known_ids)

    def apply_peer_statements(self, peer_id, statements, now):
        """Record what endpoints have stated to a peer; return the ``LimitChange``s.

        Parameters
        ----------
        peer_id : str
            The peer.
        statements : list of EndpointStatement
            Statements with their time by this node's clock.
        now : float
            Monotonic seconds.
        """
        changes = []
        for item in statements:
            record = self._registry.get(item.endpoint_id)
            if record is None:
                continue
            change = self._statement_gate.limits.record_peer(record, item.statement, peer_id, now)
            if change is not None:
                changes.append(change)
        return changes

    def expire_limits(self, now):
        """Drop limits that have expired; return the ``LimitChange``s."""
        return self._statement_gate.limits.expire(self._registry.records, now)

    def count_in_flight(self, endpoint_id, now):
        """Return the requests of all nodes that the endpoint has not finished, as far as known."""
        return self._dispatcher.load_tracker.estimate(endpoint_id, now)

    def record_reported_load(self, endpoint_id, load, now):
        """Record the running and waiting requests that an endpoint reports."""
        self._dispatcher.load_tracker.record_reported_load(endpoint_id, load, now)

    def end_attempt(self, endpoint_id):
        """Stop counting an attempt that has ended."""
        self._dispatcher.load_tracker.end(endpoint_id)

    def end_response(self, endpoint_id, status):
        """Stop counting an attempt whose response is complete."""
        self._dispatcher.load_tracker.end(endpoint_id)
        if status < 500:
            self._dispatcher.health.record_success(endpoint_id)

    def record_first_event(self, query, decision, observed_s, now):
        """Record the observed time to the first event of a stream."""
        self._dispatcher.record_first_event(query, decision, observed_s, now)

    def record_failure(self, endpoint_id, error_type, now):
        """Record a failed attempt."""
        if issubclass(error_type, _HEALTH_FAILURES):
            self._dispatcher.health.record_failure(endpoint_id, now)
        if issubclass(error_type, endpoint_errors.EndpointRefused):
            self._dispatcher.record_rejection(endpoint_id, now)

    def record_ended(self, endpoint_id, started_ms, now):
        """Record that an incarnation has ended, as this node or a peer has seen."""
        known = self._registry.get(endpoint_id)
        if known is not None and known.started_ms == started_ms:
            self._dispatcher.health.record_ended(endpoint_id, now)

    def forget_failures(self):
        """Forget failures of endpoints that were due to this node's own connections."""
        self._dispatcher.health.clear()

    def _update_cold_engines(self, changes, records, now, is_first_list=False):
        """Record new incarnations, and what the registrations that the registry keeps state."""
        cold = self._statement_gate.limits.cold_engines
        for change in changes:
            if change.kind in _STARTS:
                cold.record_incarnation(change.record, now, is_first_list=is_first_list)
        for record in records:
            known = self._registry.get(record.endpoint_id)
            if known is None or known.started_ms != record.started_ms:
                continue
            if known.heartbeat_number == record.heartbeat_number:
                cold.record_registration(record, now)

    def _update_candidates(self, changes):
        self._dispatcher.apply(changes)
        return changes
