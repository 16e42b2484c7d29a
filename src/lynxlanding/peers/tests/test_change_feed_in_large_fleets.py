"""Nodes of a large fleet get from relays what they would otherwise read from the store."""

import base64
import random
import threading
import time

import pytest

from lynxlanding.peers import (
    change_feed,
    feed_codec,
    feed_message,
    fragment_assembler,
    peer_identity,
    peer_report,
    peer_table,
    store_access,
)
from lynxlanding.store import store_version, stored_object, watch_batch

KIND = "servers"
NODES = [f"n{number}" for number in range(30)]


def version(revision, era=1):
    return store_version.StoreVersion(era, revision)


def stored(name, revision):
    return stored_object.StoredObject(KIND, name, version(revision), {"state": "ready"})


class Network:
    """Delivers datagrams between the feeds at once, unless they are to be lost."""

    def __init__(self):
        self.feeds = {}
        self.access = {}
        self.is_losing = False
        self.sent = []
        self.data = []
        for node_id in NODES:
            table = peer_table.PeerTable(node_id)
            for other in NODES:
                report = peer_report.PeerReport(other, 1, 1, other, 1, {})
                table.record_report(report, time.monotonic())
            access = store_access.StoreAccess(node_id, random.Random(1))
            access.use_fleet(NODES, NODES)
            identity = peer_identity.PeerIdentity(node_id, 1, node_id, "a")
            self.access[node_id] = access
            self.feeds[node_id] = change_feed.ChangeFeed(
                identity, table, lambda: NODES, self._send, access
            )
        self.relays = [node_id for node_id in NODES if self.access[node_id].is_relay]
        self.node = next(node_id for node_id in NODES if node_id not in self.relays)
        self.relay = self.access[self.node].relays_to_follow(time.monotonic())[0]

    def subscribe(self):
        data = feed_codec.encode_subscription(feed_message.Subscription(self.node))
        self.feeds[self.relay].receive(data, time.monotonic())

    def publish(self, after, to, puts=(), *, was_outage=False):
        batch = watch_batch.WatchBatch(list(puts), [], version(to))
        after = None if after is None else version(after)
        self.feeds[self.relay].publish(KIND, after, batch, was_outage=was_outage)

    def watch(self, after):
        return self.feeds[self.node].watch(KIND, version(after), 0.0)

    def _send(self, data, address):
        self.sent.append(address)
        self.data.append(data)
        if not self.is_losing:
            self.feeds[address].receive(data, time.monotonic())


@pytest.fixture
def network():
    fed = Network()
    fed.subscribe()
    return fed


def test_a_missed_change_is_asked_of_the_relay(network):
    """Pattern: a lost datagram, for which the node read the store."""
    network.publish(4, 5)
    network.is_losing = True
    network.publish(5, 7, [stored("a", 6)])
    network.is_losing = False
    network.publish(7, 8, [stored("b", 8)])
    first = network.watch(5)
    assert (first.puts, first.version) == ((stored("a", 6),), version(7))
    assert network.watch(7).puts == (stored("b", 8),)


def test_changes_that_no_relay_keeps_are_read_from_the_store(network):
    """Guards against a node that waits for a relay which has listed the objects since."""
    network.publish(None, 9)
    started_at = time.monotonic()
    assert network.watch(5) is None
    assert time.monotonic() - started_at < 2 * change_feed.CATCH_UP_TIMEOUT_S


def test_another_era_is_read_from_the_store(network):
    """Guards against versions of two eras that are compared."""
    network.publish(4, 5)
    batch = watch_batch.WatchBatch([], [], version(3, era=2))
    network.feeds[network.relay].publish(KIND, version(2, era=2), batch, was_outage=False)
    assert network.watch(5) is None


def test_a_relay_answers_with_the_age_of_what_it_says(network, monkeypatch):
    """Guards against old data that count as confirmed when a second relay repeats them."""
    monkeypatch.setattr(change_feed, "FEED_TIMEOUT_S", 0.2)
    network.is_losing = True
    network.publish(4, 5, [stored("a", 5)])
    network.is_losing = False
    time.sleep(0.15)
    request = feed_message.Subscription(network.node, {KIND: version(4)})
    network.feeds[network.relay].receive(feed_codec.encode_subscription(request), time.monotonic())
    assert network.watch(4).puts == (stored("a", 5),)
    time.sleep(0.1)
    assert network.watch(5) is None


def test_a_relay_says_that_it_waits_for_the_store(network, monkeypatch):
    """Pattern: the store is silent, and all subscribers call it when their relay is silent."""
    monkeypatch.setattr(store_access, "RELAY_WAITING_S", 0.0)
    network.access[network.relay].decide(KIND, time.monotonic())
    network.feeds[network.relay]._tell_waiting(time.monotonic())
    decision = network.access[network.node].decide(KIND, time.monotonic())
    assert decision.reason == store_access.WAIT_RELAYS_PROBE
    # It confirms nothing.
    assert network.watch(5) is None


def test_all_nodes_hear_that_the_store_is_back(network):
    """Guards against nodes that have changed their relay in the outage and wait for the next."""
    network.publish(4, 5, was_outage=True)
    assert set(network.sent) == set(NODES) - {network.relay}


def test_a_relay_reads_for_itself(network):
    """Pattern: a relay is replaced by its subscriber, which followed it for 3 s more."""
    relay = network.feeds[network.relay]
    message = feed_message.FeedMessage(KIND, version(5), version(6))
    relay.receive(feed_codec.encode(message)[0], time.monotonic())
    assert relay.watch(KIND, version(5), 0.0) is None


def test_a_silent_relay_is_replaced_before_the_store_is_called(network):
    """Pattern: a relay is killed, and its subscribers call the store."""
    now = time.monotonic()
    access = network.access[network.node]
    access.record_feed(KIND, now)
    assert len(access.relays_to_follow(now)) == 1
    network.sent.clear()
    feed = network.feeds[network.node]
    feed._follow_relays(now + store_access.BACKUP_SILENCE_S + 0.01, is_due=False)
    assert network.sent == [relay for relay in network.relays if relay != network.relay]


def test_earlier_versions_ignore_what_they_do_not_know():
    """Guards against a relay that tells an earlier version that it reads on."""
    message = feed_message.make_waiting_message([KIND])
    decoded = feed_codec.decode(feed_codec.encode(message)[0])
    assert decoded == message
    assert decoded.kind != KIND
    request = feed_message.Subscription("n1", {KIND: version(4)})
    assert feed_codec.decode(feed_codec.encode_subscription(request)) == request


def test_waiting_for_a_message_takes_no_processor_time(network):
    """Pattern: a relay waits for its next probe while another one feeds it.

    It looked for new messages without a pause, and its whole process stood still for a second.
    """
    network.publish(4, 5)
    started_at = time.monotonic()
    network.feeds[network.node].wait_for_message(KIND, 0.1)
    assert time.monotonic() - started_at >= 0.1


def test_a_relay_that_the_store_refuses_follows_another_one(network):
    """Guards against a relay that knows less than its subscribers."""
    relay = network.feeds[network.relay]
    network.access[network.relay].record_failure(time.monotonic())
    message = feed_message.FeedMessage(KIND, version(5), version(6))
    relay.receive(feed_codec.encode(message)[0], time.monotonic())
    assert relay.watch(KIND, version(5), 0.0).version == version(6)


def test_a_new_relay_stops_following_at_once(network):
    """Pattern: a relay is replaced by a node that waits for changes of its former relay."""
    node = network.feeds[network.node]
    message = feed_message.FeedMessage(KIND, version(5), version(5))
    node.receive(feed_codec.encode(message)[0], time.monotonic())
    results = []
    watching = threading.Thread(
        target=lambda: results.append(node.watch(KIND, version(5), 5.0)), daemon=True
    )
    watching.start()
    time.sleep(0.05)
    network.access[network.node].use_fleet(NODES, [network.node])
    node._notice_role()
    watching.join(1.0)
    assert results == [None]


def make_large(revision, size=20_000):
    text = random.Random(revision).randbytes(size).hex()
    return stored_object.StoredObject(KIND, "main", version(revision), {"routes": text})


def test_a_value_that_fits_no_datagram_comes_from_the_relay(network):
    """Pattern: a new configuration, which every node of the fleet read from the store."""
    network.publish(4, 5)
    network.publish(5, 6, [make_large(6)])
    assert network.watch(5).puts == (make_large(6),)
    assert all(len(data) <= feed_codec.MAX_DATAGRAM_BYTES for data in network.data)


@pytest.mark.parametrize("order", ["reversed", "lost"])
def test_fragments_in_any_order_are_put_together(network, order):
    """Guards against messages of mixed or missing fragments."""
    message = feed_message.FeedMessage(KIND, version(5), version(6), (make_large(6),), age_ms=5)
    datagrams = feed_codec.encode_requested(message)
    assert len(datagrams) > 10
    datagrams.reverse()
    if order == "lost":
        datagrams.pop()
    node = network.feeds[network.node]
    for data in datagrams:
        node.receive(data, time.monotonic())
    found = node.watch(KIND, version(5), 0.0)
    assert found == (message if order == "reversed" else None)


def test_a_value_for_too_many_datagrams_is_read_from_the_store(network):
    """Guards against bursts that overflow the buffers of all receivers."""
    network.publish(4, 5)
    network.publish(5, 6, [make_large(6, 200_000)])
    assert network.watch(5) is None


def test_malformed_fragments_are_dropped(network):
    """Guards against an error in the thread that receives all reports."""
    node = network.feeds[network.node]
    for document in (
        {"fragment": [1, 2, 2], "data": ""},
        {"fragment": [1, 0], "data": ""},
        {"fragment": [1, 0, 1], "data": "?"},
        {"fragment": [1, 0, 1], "data": "AAAA"},
        {"fragment": [1, 0, 10**9], "data": ""},
        {"fragment": None},
    ):
        node.receive(feed_codec._compress(document), time.monotonic())
    inner = feed_codec._compress({"fragment": [1, 0, 1], "data": ""})
    text = base64.b64encode(inner[len(feed_codec.PREFIX) :]).decode()
    nested = {"fragment": [7, 0, 1], "data": text}
    node.receive(feed_codec._compress(nested), time.monotonic())
    assert node.watch(KIND, version(5), 0.0) is None


def test_incomplete_messages_are_bounded():
    """Guards against memory that grows with every lost fragment."""
    assembler = fragment_assembler.FragmentAssembler()
    for checksum in range(100):
        assembler.add(fragment_assembler.Fragment(checksum, 0, 2, b"a"), 0.0)
    assert len(assembler._incomplete) == fragment_assembler.MAX_INCOMPLETE
    # Fragments of a message that was sent long before do not complete a later one.
    late = fragment_assembler.ASSEMBLY_TIMEOUT_S
    assert assembler.add(fragment_assembler.Fragment(99, 1, 2, b"b"), late) is None


def test_a_substitute_for_refused_relays_is_followed_until_they_are_back(network):
    """Pattern: the store refuses all candidates for relays, and answers another node."""
    substitute = next(
        node_id for node_id in NODES if node_id not in (*network.relays, network.node)
    )
    access = network.access[substitute]
    now = time.monotonic()
    access.decide(KIND, now)
    while not access.is_substitute:
        access.record_waiting_relay([KIND], now)
        access.decide(KIND, now)
        now += 1.0
    access.record_answer(now, KIND)
    feed = network.feeds[substitute]
    batch = watch_batch.WatchBatch([stored("a", 6)], [], version(6))
    feed.publish(KIND, version(5), batch, was_outage=True)
    assert set(network.sent) == set(NODES) - {substitute}
    assert network.watch(5).puts == (stored("a", 6),)
    network.feeds[network.node]._follow_relays(time.monotonic(), is_due=True)
    assert substitute in network.sent
    network.sent.clear()
    feed.publish(KIND, version(6), watch_batch.WatchBatch([], [], version(7)), was_outage=False)
    assert network.sent == [network.node]
    access.record_feed(KIND, now)
    assert not access.is_substitute


def test_other_nodes_do_not_announce_that_the_store_is_back(network):
    """Guards against a message of every node to all others after an outage."""
    batch = watch_batch.WatchBatch([], [], version(6))
    network.feeds[network.node].publish(KIND, version(5), batch, was_outage=True)
    assert network.sent == []
