"""The change feed and a configuration that comes as a copy."""

import random
import time

import pytest

from lynxlanding.peers import (
    change_feed,
    feed_codec,
    feed_message,
    peer_identity,
    peer_table,
    protocol,
    report_gatherer,
    store_access,
)
from lynxlanding.peers import peer_report as reports
from lynxlanding.store import store_version, stored_object, watch_batch

KIND = "config"
RELAY = "10.0.0.1:7340"
NODES = [f"n{number}" for number in range(30)]
# Does not fit into the datagrams of a message that goes to all subscribers.
LARGE = random.Random(1).randbytes(20_000).hex()


def version(revision, era=1):
    return store_version.StoreVersion(era, revision)


def stored(revision, value=LARGE):
    return stored_object.StoredObject(KIND, "main", version(revision), {"routes": value})


class StubCopies:
    kind = KIND

    def __init__(self, own_version=None):
        self.version = own_version
        self.latest = own_version
        self.newer_at = []

    def record_newer(self, address):
        self.newer_at.append(address)


def make_feed(copies, node_id="n1", sent=None):
    access = store_access.StoreAccess(node_id, random.Random(1))
    access.use_fleet(NODES, NODES)
    return change_feed.ChangeFeed(
        peer_identity.PeerIdentity(node_id, 1, node_id, "a"),
        peer_table.PeerTable(node_id),
        lambda: NODES,
        lambda data, address: sent.append(data),
        access,
        copies=copies,
    )


def publish(after, batch, own_version):
    """Return the datagrams that a relay sends to its subscribers."""
    sent = []
    relay = make_feed(StubCopies(own_version), sent=sent)
    subscription = feed_message.Subscription("node")
    relay.receive(feed_codec.encode_subscription(subscription), time.monotonic())
    relay.publish(KIND, after, batch, was_outage=False)
    return sent


@pytest.fixture
def copies():
    return StubCopies(version(5))


def test_notice_of_a_newer_configuration_names_its_sender(copies):
    """Guards against a node that learns of a configuration only when its own call fails."""
    node = make_feed(copies)
    batch = watch_batch.WatchBatch([stored(7)], [], version(8))
    (data,) = publish(version(6), batch, version(7))
    node.receive(data, time.monotonic(), RELAY)
    assert copies.newer_at == [RELAY]
    # Nothing is asked for that the node has.
    copies.version = version(7)
    node.receive(data, time.monotonic(), RELAY)
    assert copies.newer_at == [RELAY]


def test_versions_of_another_era_are_not_compared(copies):
    node = make_feed(copies)
    batch = watch_batch.WatchBatch([stored(7)], [], version(8))
    (data,) = publish(version(6), batch, version(7))
    copies.version = version(3, era=2)
    node.receive(data, time.monotonic(), RELAY)
    assert copies.newer_at == []


def test_node_with_the_latest_configuration_misses_nothing(copies):
    """Guards against reading the store for a version in which the configuration is the same."""
    node = make_feed(copies)
    (data,) = publish(version(7), watch_batch.WatchBatch([], [], version(9)), version(4))
    node.receive(data, time.monotonic(), RELAY)
    message = node.watch(KIND, version(5), 0.0)
    assert (message.version, message.puts, message.is_complete) == (version(9), (), True)


def test_watcher_waits_for_a_copy_and_goes_on_from_it(copies):
    """Guards against a call to the store, which may be silent, while a copy is on its way."""
    node = make_feed(copies)
    batch = watch_batch.WatchBatch([stored(7)], [], version(8))
    (data,) = publish(version(6), batch, version(7))
    node.receive(data, time.monotonic(), RELAY)
    first_version = version(0)
    node.deliver(feed_message.FeedMessage(KIND, first_version, version(7)))
    message = node.watch(KIND, version(5), 0.0)
    assert (message.version, message.is_complete) == (version(7), True)


def test_copy_that_does_not_come_is_read_from_the_store(copies, monkeypatch):
    monkeypatch.setattr(change_feed, "COPY_TIMEOUT_S", 0.05)
    node = make_feed(copies)
    batch = watch_batch.WatchBatch([stored(7)], [], version(8))
    (data,) = publish(version(6), batch, version(7))
    node.receive(data, time.monotonic(), RELAY)
    assert node.watch(KIND, version(5), 0.0) is None


def test_store_is_read_from_the_version_of_the_copy(copies):
    node = make_feed(copies)
    copies.version = version(7)
    assert node.skip_copied(KIND, version(5)) == version(7)
    assert node.skip_copied(KIND, version(9)) == version(9)
    assert node.skip_copied("servers", version(5)) == version(5)
    assert node.skip_copied(KIND, version(9, era=2)) == version(9, era=2)


def test_relay_keeps_the_newest_configuration_only():
    """Guards against 64 configurations of 1 MB each in the memory of a relay.

    Nodes of an earlier version ask for them in fragments, and get the newest.
    """
    sent = []
    relay = make_feed(StubCopies(version(1)), sent=sent)
    for revision in range(2, 40):
        batch = watch_batch.WatchBatch([stored(revision, LARGE[:8000])], [], version(revision))
        relay.publish(KIND, version(revision - 1), batch, was_outage=False)
    (message,) = relay._logs[KIND].since(version(1))
    assert [item.version for item in message.puts] == [version(39)]
    subscription = feed_message.Subscription("old", {KIND: version(3)})
    relay.receive(feed_codec.encode_subscription(subscription), time.monotonic())
    receiver = make_feed(None, "old", sent=[])
    for data in sent:
        receiver.receive(data, time.monotonic())
    (received,) = receiver.watch(KIND, version(3), 0.0).puts
    assert received.version == version(39)


def make_report(node_id, configuration_version):
    return reports.PeerReport(
        node_id,
        1,
        1,
        f"{node_id}:1",
        configuration_version,
        {},
        protocol_version=protocol.CURRENT,
        gatherers=(1,),
    )


def test_digest_names_holders_of_the_newest_configuration(monkeypatch):
    """Guards against nodes that hear of a configuration only from relays, which may be refused."""
    monkeypatch.setattr(report_gatherer.node_key, "hash_node_id", int)
    gatherer = report_gatherer.ReportGatherer(peer_identity.PeerIdentity("1", 1, "1:1", "a"))
    for node_id, configuration_version in (("2", 4), ("3", 7), ("4", 5), ("5", 7)):
        gatherer.record(make_report(node_id, configuration_version), b"", 0.0)
    digest = gatherer.build(1, 0.1)
    assert (digest.configuration_version, digest.configuration_holders) == (7, (3, 5))
    table = peer_table.PeerTable("9")
    for node_id in ("2", "3", "4", "5"):
        table.record_report(make_report(node_id, 4), 0.0)
    table.record_digest(digest, 0.2)
    assert table.copy_addresses(["2", "3", "4", "5", "6"], 7) == ["3:1", "5:1"]


def test_nodes_of_an_earlier_protocol_are_not_asked():
    table = peer_table.PeerTable("n9")
    table.record_registration("n1", "n1:1", 0.0, protocol.GATHERING)
    table.peers["n1"].configuration_version = 7
    assert table.copy_addresses(["n1"], 7) == []
