"""Owner of the registry, the configuration in force and the counts of requests."""

import pykka

from lynxlanding.errors import endpoint as endpoint_errors

# Failures that say something about the endpoint's health.
_FAULTS = (
    endpoint_errors.AttemptTimedOut,
    endpoint_errors.ConnectionBroken,
    endpoint_errors.ConnectionRefused,
    endpoint_errors.EndpointRefused,
    endpoint_errors.ResponseTruncated,
)


class ServingActor(pykka.ThreadingActor):
    """Serializes the events of requests, of the store and of peers.

    Parameters
    ----------
    registry : EndpointRegistry
        Endpoints.
    dispatcher : Dispatcher
        Decisions.
    """

    use_daemon_thread = True

    def __init__(self, registry, dispatcher):
        super().__init__()
        self._registry = registry
        self._dispatcher = dispatcher

    def use_configuration(self, configuration):
        """Use a newer configuration."""
        self._dispatcher.use_configuration(configuration)

    def apply_list(self, records, now, was_outage):
        """Replace the registry; return the changes."""
        self._registry.on_store_regained(now, was_outage)
        return self._applied(self._registry.apply_list(records, now))

    def apply_changes(self, records, removed_ids, now, was_outage):
        """Apply the events of a watch; return the changes."""
        self._registry.on_store_regained(now, was_outage)
        return self._applied(self._registry.apply_changes(records, removed_ids, now))

    def on_store_lost(self):
        """Record that the store does not answer."""
        self._registry.on_store_lost()

    def expire(self, now):
        """Drop lapsed endpoints and silent peers; return the changes."""
        self._dispatcher.load.expire(now)
        return self._applied(self._registry.expire(now))

    def records(self):
        """Return a copy of the records by endpoint id, and whether the store answers."""
        return dict(self._registry.records), self._registry.is_store_available

    def own_load(self):
        """Return the node's requests in flight by endpoint id."""
        return dict(self._dispatcher.load.own)

    def apply_peer_load(self, peer_id, counts, now):
        """Replace the requests in flight of a peer."""
        self._dispatcher.load.replace_peer(peer_id, counts, now)

    def use_retry_limits(self, retry_limits):
        """Use another limit on repeats: ratio, slack and window in seconds."""
        self._dispatcher.use_retry_limits(retry_limits)

    def use_node_count(self, nodes):
        """Use the number of nodes that share the limit on repeats."""
        self._dispatcher.use_node_count(nodes)

    def note_request(self, service, model, work, now):
        """Count a request from a caller."""
        self._dispatcher.note_request(service, model, work, now)

    def busy_groups(self, now):
        """Return the groups that this node's requests keep busy, by model."""
        return self._dispatcher.busy_groups(now)

    def take_repeat(self, service, now):
        """Take one repeat; return whether there was one."""
        return self._dispatcher.take_repeat(service, now)

    def may_switch(self, question, now):
        """Take one repeat if another endpoint could serve the request at once."""
        return self._dispatcher.may_switch(question, now)

    def choose(self, question, now):
        """Return the decision about a request."""
        return self._dispatcher.choose(question, now)

    def state_load(self, endpoint_id, load, now):
        """Record the load that an endpoint states."""
        self._dispatcher.load.state(endpoint_id, load, now)

    def end_attempt(self, endpoint_id):
        """Count an attempt that has ended."""
        self._dispatcher.load.end(endpoint_id)

    def end_response(self, endpoint_id, status):
        """Count a whole response."""
        self._dispatcher.load.end(endpoint_id)
        if status < 500:
            self._dispatcher.health.note_success(endpoint_id)

    def note_first_event(self, question, send, observed_s, now):
        """Record the time to the first event of a stream."""
        self._dispatcher.note_first_event(question, send, observed_s, now)

    def note_failure(self, endpoint_id, error_type, now):
        """Record a failed attempt."""
        if issubclass(error_type, _FAULTS):
            self._dispatcher.health.note_failure(endpoint_id, now)

    def _applied(self, changes):
        self._dispatcher.apply(changes)
        return changes
