"""Nodes take the configuration from each other, whether or not the store answers them."""

import heapq
import random
import socket
import threading
import time
import zlib

import pytest

from lynxlanding.errors import membership as membership_errors
from lynxlanding.gateway import configuration_app, http_server
from lynxlanding.peers import (
    configuration_copies,
    copy_answer,
    copy_client,
    copy_offers,
    copy_sources,
)
from lynxlanding.settings import vm_settings
from lynxlanding.store import store_version, stored_object

KIND = "config"
DIGEST_INTERVAL_S = 0.4
# Time from the arrival of a copy until it is in force, on half a core.
ACTIVATION_S = 0.1
ROUND_TRIP_S = 0.004


def make_stored(number, size=100):
    value = {"version": number, "routes": "x" * size}
    return stored_object.StoredObject(KIND, "main", store_version.StoreVersion(1, number), value)


class SimulatedFleet:
    """Nodes of which some read a configuration from the store at 0.0, on a simulated clock."""

    def __init__(self, node_count, reader_count, size, seed):
        self._random_state = random.Random(seed)
        self._size = size
        self._sources = []
        self._offers = []
        self._events = []
        self.in_force_at = {}
        self.sent = [0] * node_count
        for _ in range(node_count):
            self._sources.append(copy_sources.CopySources(self._random_state))
            self._offers.append(copy_offers.CopyOffers())
        for node in range(node_count):
            if node < reader_count:
                self.in_force_at[node] = 0.0
                continue
            # The relay that the node follows sends a notice.
            self._sources[node].record_holder(str(node % reader_count), 1)
            self._push(self._random_state.uniform(0.0, 0.01), self._ask, node)

    def run(self):
        while self._events:
            now, _, step, node = heapq.heappop(self._events)
            step(node, now)

    def _push(self, at, step, node):
        heapq.heappush(
            self._events, (at, len(self._events) + self._random_state.random(), step, node)
        )

    def _ask(self, node, now):
        address = self._sources[node].choose(0, now)
        if address is None:
            self._push(now + configuration_copies.POLL_S, self._ask, node)
            return
        holder = int(address)
        offers = self._offers[holder]
        if offers.admit(1, self._size, str(node), now):
            self.sent[holder] += 1
            transfer_s = self._size / copy_offers.LINK_BYTES_PER_S
            self._push(now + ROUND_TRIP_S + transfer_s + ACTIVATION_S, self._activate, node)
            return
        for receiver in offers.receivers(str(node)):
            # A node that still receives its own copy has nothing to send.
            if int(receiver) in self.in_force_at:
                self._sources[node].record_holder(receiver, 1)
        self._sources[node].record_busy(address, now)
        self._push(now + ROUND_TRIP_S, self._ask, node)

    def _activate(self, node, now):
        self.in_force_at[node] = now


@pytest.mark.parametrize(
    ("node_count", "reader_count", "size", "bound_s"),
    [
        # Sizes as encoded: 24 workspaces with 60 keys each, and 1,320 routes more.
        (83, 3, 25_000, 2.0),
        (83, 1, 45_000, 2.0),
        (410, 11, 45_000, 2.0),
        # The largest value of the store, 1 MB, which the encoding halves at least.
        (410, 11, 500_000, 4.0),
    ],
)
def test_configuration_reaches_all_nodes_of_a_fleet_in_time(
    node_count, reader_count, size, bound_s
):
    """Guards against relays that send a large configuration to forty nodes each."""
    for seed in range(10):
        fleet = SimulatedFleet(node_count, reader_count, size, seed)
        fleet.run()
        assert len(fleet.in_force_at) == node_count
        assert max(fleet.in_force_at.values()) < bound_s
        assert max(fleet.sent) * size < copy_offers.LINK_BYTES_PER_S * bound_s


class Installation:
    """Nodes that serve copies over HTTP on loopback."""

    def __init__(self):
        self._servers = []

    def add(self, number=None):
        """Start a node; return its copies and its address."""
        listener = socket.create_server(("127.0.0.1", 0))
        port = listener.getsockname()[1]
        address = f"127.0.0.1:{port}"
        copies = configuration_copies.ConfigurationCopies(
            KIND, copy_client.CopyClient(address), random.Random(1)
        )
        app = configuration_app.ConfigurationApp(copies)
        limits = vm_settings.ServerLimits(2)
        server = http_server.create(app, "127.0.0.1", port, limits, listener)
        self._servers.append(server)
        threading.Thread(target=server.run, daemon=True).start()
        if number is not None:
            copies.record_own(number, make_stored(number))
        return copies, address

    def close(self):
        for server in self._servers:
            server.close()


@pytest.fixture
def installation():
    running = Installation()
    yield running
    running.close()


def follow(copies):
    """Start a node's copies; return the event of its first one and the messages."""
    messages = []
    arrived = threading.Event()

    def use(message):
        (stored,) = message.puts
        messages.append(message)
        copies.record_own(stored.value["version"], stored)
        arrived.set()

    copies.start(use)
    return arrived, messages


def test_newer_configuration_is_taken_from_another_node(installation, log_messages):
    """Guards against a node that the store refuses and that keeps its configuration for seconds."""
    holder, address = installation.add(7)
    node, _ = installation.add(5)
    arrived, messages = follow(node)
    node.record_holder(address, 7)
    assert arrived.wait(5.0)
    end = time.monotonic() + 5.0
    while node.received_total == 0 and time.monotonic() < end:
        time.sleep(0.005)
    node.stop()
    assert (node.number, node.version) == (7, store_version.StoreVersion(1, 7))
    assert messages[0].after == store_version.StoreVersion(1, 0)
    assert messages[0].is_complete
    assert (holder.sent_total, node.received_total) == (1, 1)
    (line,) = log_messages
    assert (line["version"], line["previous"], line["address"]) == (7, 5, address)


def test_node_that_sends_names_others_that_have_a_copy(installation):
    holder, address = installation.add(7)
    client = copy_client.CopyClient("127.0.0.1:9")
    assert client.fetch(address, 5).data is not None
    other = copy_client.CopyClient("127.0.0.1:10")
    answer = other.fetch(address, 5)
    assert (answer.data, answer.is_busy, answer.holders) == (None, True, ("127.0.0.1:9",))
    assert holder.sent_total == 1


def test_node_without_a_newer_configuration_says_so(installation):
    _, address = installation.add(7)
    client = copy_client.CopyClient("127.0.0.1:9")
    assert client.fetch(address, 7) == copy_answer.CopyAnswer()
    _, empty = installation.add()
    assert client.fetch(empty, 0) == copy_answer.CopyAnswer()


def test_node_that_is_gone_is_an_error_and_another_is_asked(installation, log_messages):
    """Guards against a node that waits for one holder while others have the configuration."""
    _, address = installation.add(7)
    node, _ = installation.add(5)
    with pytest.raises(membership_errors.PeerUnreachable):
        copy_client.CopyClient("127.0.0.1:9").fetch("127.0.0.1:1", 5)
    node.record_holder("127.0.0.1:1", 8)
    node.record_holder(address, 7)
    arrived, _ = follow(node)
    assert arrived.wait(5.0)
    node.stop()
    assert node.number == 7


class ScriptedClient:
    """Answers each call with the same bytes."""

    def __init__(self, data):
        self._data = data
        self.calls = []

    def fetch(self, address, number):
        self.calls.append((address, number))
        return copy_answer.CopyAnswer(self._data)


def encode(stored):
    copies = configuration_copies.ConfigurationCopies(KIND, None, random.Random(1))
    copies.record_own(stored.value["version"], stored)
    return copies.serve(0, "").data


@pytest.mark.parametrize(
    "data",
    [
        # Not put into force by ``on_copy``, like one that cannot be decoded.
        encode(make_stored(7)),
        encode(
            stored_object.StoredObject(
                "servers", "a", store_version.StoreVersion(1, 7), {"version": 7}
            )
        ),
        zlib.compress(b'{"subscriber": "a"}'),
        b"wrong",
    ],
    ids=["refused", "other kind", "other message", "wrong bytes"],
)
def test_answer_that_cannot_be_used_is_not_asked_for_again(data):
    """Guards against asking without a pause a node whose configuration cannot be used."""
    client = ScriptedClient(data)
    copies = configuration_copies.ConfigurationCopies(KIND, client, random.Random(1))
    copies.record_holder("a", 7)
    copies.start(lambda message: None)
    time.sleep(0.3)
    copies.stop()
    assert client.calls == [("a", 0)]


def test_configuration_that_this_node_cannot_use_is_asked_for_once():
    """Guards against nodes of an earlier build that ask all others for what they cannot decode."""
    client = ScriptedClient(encode(make_stored(7)))
    copies = configuration_copies.ConfigurationCopies(KIND, client, random.Random(1))
    for holder in ("a", "b", "c"):
        copies.record_holder(holder, 7)
    copies.start(lambda message: None)
    time.sleep(0.3)
    copies.record_holder("d", 7)
    assert len(client.calls) == 1
    copies.record_holder("d", 8)
    time.sleep(0.3)
    copies.stop()
    assert client.calls[1:] == [("d", 0)]


def test_values_that_cannot_be_encoded_again_are_not_passed_on():
    stored = stored_object.StoredObject(
        KIND, "main", store_version.StoreVersion(1, 3), {"version": 3, "name": "\udcff"}
    )
    copies = configuration_copies.ConfigurationCopies(KIND, None, random.Random(1))
    copies.record_own(3, stored)
    assert copies.serve(0, "") == copy_answer.CopyAnswer()


def test_sources_with_nothing_newer_are_forgotten():
    sources = copy_sources.CopySources(random.Random(1))
    sources.record_holder("a", 5)
    assert sources.choose(4, 0.0) == "a"
    sources.record_unchanged("a", 0.0)
    assert sources.choose(4, 0.1) is None
    assert sources.choose(4, copy_sources.UNCHANGED_PAUSE_S) == "a"
    assert sources.choose(5, 9.0) is None
    assert not sources.is_behind(4)


def test_number_of_sources_is_bounded():
    sources = copy_sources.CopySources(random.Random(1))
    for number in range(10 * copy_sources.MAX_HOLDERS):
        sources.record_holder(f"a{number}", 5)
        sources.record_failure(f"a{number}", 0.0)
    found = set()
    now = copy_sources.FAILURE_PAUSE_S
    while (address := sources.choose(4, now)) is not None:
        found.add(address)
        sources.record_failure(address, now)
    assert len(found) == copy_sources.MAX_HOLDERS
