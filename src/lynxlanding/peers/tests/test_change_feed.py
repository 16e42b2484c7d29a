"""Nodes that follow the store through another node instead of calls of their own."""

import random
import time

import pytest

from lynxlanding.errors import membership as membership_errors
from lynxlanding.peers import (
    change_feed,
    feed_codec,
    feed_message,
    feed_roles,
    peer_identity,
    peer_report,
    peer_table,
    protocol,
    report_codec,
)
from lynxlanding.store import store_version, stored_object, watch_batch

KIND = "servers"
NODES = [f"n{number}" for number in range(83)]


def version(revision, era=1):
    return store_version.StoreVersion(era, revision)


def stored(name, revision, value=None):
    return stored_object.StoredObject(KIND, name, version(revision), value or {"state": "ready"})


class Network:
    """Delivers datagrams between feeds at once, unless they are to be lost."""

    def __init__(self, *node_ids):
        self.feeds = {}
        self.is_losing = False
        self.sent = []
        for node_id in node_ids:
            identity = peer_identity.PeerIdentity(node_id, 1, node_id, "a")
            table = peer_table.PeerTable(node_id)
            self.feeds[node_id] = change_feed.ChangeFeed(
                identity, table, lambda: ["relay"], self._send
            )

    def subscribe(self, subscriber, relay):
        data = feed_codec.encode_subscription(feed_message.Subscription(subscriber))
        self.feeds[relay].receive(data, time.monotonic())

    def _send(self, data, address):
        self.sent.append(data)
        if not self.is_losing:
            self.feeds[address].receive(data, time.monotonic())


@pytest.fixture
def network():
    fed = Network("relay", "node")
    fed.subscribe("node", "relay")
    return fed


def publish(network, after, to, puts=(), deletes=(), was_outage=False):
    batch = watch_batch.WatchBatch(list(puts), list(deletes), version(to))
    after = None if after is None else version(after)
    network.feeds["relay"].publish(KIND, after, batch, was_outage=was_outage)


def test_changes_reach_the_subscribers(network):
    publish(network, 5, 7, [stored("a", 6)], ["b"], was_outage=True)
    message = network.feeds["node"].watch(KIND, version(5), 0.0)
    assert message.puts == (stored("a", 6),)
    assert message.deletes == ("b",)
    assert message.version == version(7)
    assert message.was_outage


def test_a_gap_is_read_from_the_store(network):
    """Guards against changes that are missed because a datagram was lost."""
    network.is_losing = True
    publish(network, 5, 7, [stored("a", 6)])
    network.is_losing = False
    publish(network, 7, 8, [stored("b", 8)])
    assert network.feeds["node"].watch(KIND, version(5), 0.0) is None


def test_a_lost_last_message_shows_in_the_next_one_without_changes(network):
    publish(network, 4, 5)
    network.is_losing = True
    publish(network, 5, 7, [stored("a", 6)])
    network.is_losing = False
    publish(network, 7, 7)
    node = network.feeds["node"]
    assert node.watch(KIND, version(4), 0.0).version == version(5)
    assert node.watch(KIND, version(5), 0.0) is None


def test_known_changes_are_skipped(network):
    publish(network, 5, 7, [stored("a", 6)])
    publish(network, 7, 9, [stored("b", 9)])
    message = network.feeds["node"].watch(KIND, version(8), 0.0)
    assert message.puts == (stored("b", 9),)


def test_another_era_is_read_from_the_store(network):
    batch = watch_batch.WatchBatch([], [], version(3, era=2))
    network.feeds["relay"].publish(KIND, version(2, era=2), batch, was_outage=False)
    assert network.feeds["node"].watch(KIND, version(5), 0.0) is None


def test_a_silent_relay_is_noticed(network, monkeypatch):
    """Pattern: a relay that is killed, frozen or cut off."""
    monkeypatch.setattr(change_feed, "FEED_TIMEOUT_S", 0.05)
    publish(network, 5, 7)
    started_at = time.monotonic()
    assert network.feeds["node"].watch(KIND, version(7), 2.0) is None
    assert time.monotonic() - started_at < 1.0


def test_a_relay_sends_nothing_that_the_store_has_not_just_answered(network, monkeypatch):
    """Pattern: the connection of a relay to the store goes silent.

    Its subscribers kept the configuration of 2.3 s before, because its heartbeats went on.
    """
    monkeypatch.setattr(change_feed, "SUBSCRIPTION_INTERVAL_S", 0.01)
    relay = network.feeds["relay"]
    publish(network, 5, 7)
    network.sent.clear()
    relay.start()
    time.sleep(0.1)
    relay.stop()
    assert network.sent == []


def test_changes_that_fit_no_datagram_are_announced_only(network):
    random_state = random.Random(1)
    names = [f"{random_state.getrandbits(128):032x}" for _ in range(200)]
    puts = [stored(name, 6, {"address": name[::-1]}) for name in names]
    publish(network, 5, 7, puts)
    assert all(len(data) <= feed_codec.MAX_DATAGRAM_BYTES for data in network.sent)
    assert network.feeds["node"].watch(KIND, version(5), 0.0) is None


def make_puts(count):
    random_state = random.Random(1)
    puts = []
    for revision in range(6, 6 + count):
        value = {"address": f"{random_state.getrandbits(128):032x}"}
        puts.append(stored(f"{random_state.getrandbits(128):032x}", revision, value))
    return puts


def test_many_changes_are_passed_on_in_several_datagrams(network):
    """Pattern: a fabric domain changes at once, and every subscriber reads it from the store."""
    puts = make_puts(60)
    publish(network, 5, 90, puts, ["gone"], was_outage=True)
    assert len(network.sent) > 1
    assert all(len(data) <= feed_codec.MAX_DATAGRAM_BYTES for data in network.sent)
    after = version(5)
    received = []
    outages = []
    while after != version(90):
        message = network.feeds["node"].watch(KIND, after, 0.0)
        assert message.after == after
        received.extend(message.puts)
        outages.append(message.was_outage)
        assert message.deletes == (("gone",) if after == version(5) else ())
        after = message.version
    assert received == puts
    assert outages == [True] + [False] * (len(outages) - 1)


def test_loss_of_one_part_shows_as_a_gap(network):
    puts = make_puts(60)
    message = feed_message.FeedMessage(KIND, version(5), version(90), tuple(puts))
    parts = feed_codec.encode(message)
    node = network.feeds["node"]
    for data in [*parts[:1], *parts[2:]]:
        node.receive(data, time.monotonic())
    first = node.watch(KIND, version(5), 0.0)
    assert node.watch(KIND, first.version, 0.0) is None


def test_changes_for_too_many_datagrams_are_announced_only(network):
    publish(network, 5, 2000, make_puts(1500))
    assert len(network.sent) == 1
    assert network.feeds["node"].watch(KIND, version(5), 0.0) is None


def test_a_list_is_announced_only(network):
    publish(network, None, 7)
    assert network.feeds["node"].watch(KIND, version(5), 0.0) is None
    assert network.feeds["node"].watch(KIND, version(7), 0.0).version == version(7)


def test_subscriptions_expire(network, monkeypatch):
    monkeypatch.setattr(change_feed, "SUBSCRIPTION_LIFETIME_S", 0.0)
    network.subscribe("node", "relay")
    publish(network, 5, 7)
    assert network.sent == []
    assert not network.feeds["relay"].has_subscribers


def test_load_reports_are_told_from_feed_messages():
    report = peer_report.PeerReport("n1", 1, 1, "127.0.0.1:1", 1, {})
    assert protocol.get_kind(report_codec.ReportCodec().encode(report)) == b""


def test_malformed_messages_are_dropped(network):
    for data in (
        b"",
        b"junk",
        feed_codec.encode(feed_message.FeedMessage(KIND, version(1), version(1)))[0][:-4],
    ):
        with pytest.raises(membership_errors.MalformedMessage):
            feed_codec.decode(feed_codec.PREFIX + data[len(feed_codec.PREFIX) :])
        network.feeds["node"].receive(feed_codec.PREFIX + data[len(feed_codec.PREFIX) :], 0.0)


@pytest.mark.parametrize(("nodes", "relays"), [(1, 1), (9, 1), (83, 3)])
def test_few_nodes_read_the_store(nodes, relays):
    """Pattern: many nodes, each of which would call the store for every change."""
    live = NODES[:nodes]
    chosen = [feed_roles.choose_relay(node_id, live) for node_id in live]
    assert len(set(chosen)) == relays
    assert all(feed_roles.choose_relay(relay, live) == relay for relay in set(chosen))


def test_few_nodes_change_their_relay_when_one_is_lost():
    lost = feed_roles.choose_relay("n0", NODES)
    rest = [node_id for node_id in NODES if node_id != lost]
    changed = 0
    for node_id in rest:
        changed += feed_roles.choose_relay(node_id, NODES) != feed_roles.choose_relay(node_id, rest)
    assert changed < len(NODES) * 0.7


def test_third_kind_passes_a_node_of_an_earlier_version_by(network):
    """Pattern: an upgrade, in which a relay reads a kind that its subscribers do not watch.

    What arrives for nobody is bounded and does not delay the other kinds.
    """
    relay = network.feeds["relay"]
    for revision in range(5, 5 + 3 * change_feed.MAX_WAITING_MESSAGES):
        evacuated = stored_object.StoredObject("evacuations", "a", version(revision + 1), {})
        batch = watch_batch.WatchBatch([evacuated], [], version(revision + 1))
        relay.publish("evacuations", version(revision), batch, was_outage=False)
    publish(network, 5, 7, [stored("a", 6)], ["b"])
    node = network.feeds["node"]
    assert node.watch(KIND, version(5), 0.0).puts == (stored("a", 6),)
    assert len(node._waiting["evacuations"]) == change_feed.MAX_WAITING_MESSAGES


def test_kind_that_the_relay_does_not_read_is_read_from_the_store(network):
    """Pattern: an upgrade, in which the relay is of a version that does not know the kind."""
    publish(network, 5, 7)
    node = network.feeds["node"]
    assert node.watch(KIND, version(5), 0.0) is not None
    assert node.watch("evacuations", version(5), 2.0) is None


def test_kinds_have_timeouts_of_their_own(network, monkeypatch):
    monkeypatch.setattr(change_feed, "FEED_TIMEOUT_S", 0.05)
    node = network.feeds["node"]
    node._timeouts_s["evacuations"] = 60.0
    relay = network.feeds["relay"]
    for kind in (KIND, "evacuations"):
        batch = watch_batch.WatchBatch([], [], version(7))
        relay.publish(kind, version(5), batch, was_outage=False)
    time.sleep(0.06)
    assert node.watch(KIND, version(7), 0.0) is None
    assert node.watch("evacuations", version(7), 0.0) is not None


def test_silence_is_measured_from_the_last_word_of_the_relay(network):
    """Guards against a wait that begins anew with each call while the relay is silent."""
    network.feeds["node"]._timeouts_s[KIND] = 0.4
    publish(network, 5, 7)
    published_at = time.monotonic()
    node = network.feeds["node"]
    assert node.watch(KIND, version(5), 0.0).version == version(7)
    assert node.watch(KIND, version(7), 0.3) is not None
    assert node.watch(KIND, version(7), 5.0) is None
    assert time.monotonic() - published_at < 0.55
