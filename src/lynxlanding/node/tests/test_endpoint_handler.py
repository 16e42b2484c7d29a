"""Log lines of the endpoint handler, from which incidents are traced."""

from lynxlanding.dispatch.tests import dispatch_factories
from lynxlanding.node import endpoint_handler, node_status
from lynxlanding.store import store_version, stored_object


class StubServingProxy:
    """Applies records to a real registry; two requests are in flight at each endpoint."""

    def __init__(self):
        _, self.registry = dispatch_factories.make_dispatcher([])

    def apply_list(self, records, version, now, was_outage):
        return dispatch_factories.CompletedFuture(self.registry.apply_list(records, now, version))

    def apply_changes(self, records, removed_ids, version, now, was_outage):
        return dispatch_factories.CompletedFuture(
            self.registry.apply_changes(records, removed_ids, now, version)
        )

    def own_load(self):
        return dispatch_factories.CompletedFuture(dict.fromkeys(self.registry.records, 2))


class StubConnectionPool:
    def close_endpoint(self, endpoint_id):
        assert endpoint_id


def make_entry(revision, born=1000, state="ready", heartbeat=1):
    spec = {
        "service": "app",
        "address": "127.0.0.1:1",
        "zone": "a",
        "slots": 6,
        "state": state,
        "seq_no": heartbeat,
        "born": born,
    }
    version = store_version.StoreVersion(1, revision)
    return stored_object.StoredObject("servers", "i-1", version, spec)


def make_handler():
    wakes = []
    handler = endpoint_handler.EndpointHandler(
        StubServingProxy(), node_status.NodeStatus(), StubConnectionPool(), lambda: wakes.append(1)
    )
    return handler, wakes


def lines_of(messages, message_type):
    return [message for message in messages if message["message_type"] == message_type]


def test_a_change_names_the_version_and_how_long_the_node_may_not_have_known(log_messages):
    """The delay between the store's acknowledgement and the node must be visible afterwards."""
    handler, wakes = make_handler()
    handler.on_list([make_entry(7)], None, 10.0, False)
    handler.on_changes([make_entry(9, state="draining", heartbeat=4)], [], 10, 10.4, False)
    added, leaving = lines_of(log_messages, endpoint_handler.ENDPOINT_CHANGED)
    assert (added["change"], added["version"], added["unread_s"]) == ("added", "1.7", None)
    assert (leaving["change"], leaving["version"]) == ("leaving", "1.9")
    assert (leaving["born_ms"], leaving["heartbeat"], leaving["in_flight"]) == (1000, 4, 2)
    assert leaving["unread_s"] is not None
    assert len(wakes) == 2


def test_the_registry_takes_over_the_version_of_lists_and_changes():
    """Guards against domains that are planned no more, since the registry seems too old."""
    handler, _ = make_handler()
    handler.on_list([make_entry(7)], 8, 10.0, False)
    assert handler._serving.registry.version == 8
    handler.on_changes([], [], 11, 10.4, False)
    assert handler._serving.registry.version == 11


def test_an_ignored_record_is_logged_beside_the_known_one(log_messages):
    """A record that changes nothing must not vanish without a trace."""
    handler, wakes = make_handler()
    handler.on_list([make_entry(7, heartbeat=5)], None, 10.0, False)
    handler.on_changes([make_entry(9, heartbeat=3)], [], 10, 10.4, False)
    (line,) = lines_of(log_messages, endpoint_handler.RECORD_IGNORED)
    assert (line["endpoint"], line["version"], line["heartbeat"]) == ("i-1", "1.9", 3)
    assert (line["known_version"], line["known_heartbeat"]) == ("1.7", 5)
    assert handler.ignored_total == 1
    assert len(wakes) == 1
