"""Nodes that exchange reports over a simulated network with delays and losses."""

import dataclasses
import heapq
import itertools
import random

from lynxlanding.crashes import statements
from lynxlanding.dispatch import load_tracker, stall_tracker
from lynxlanding.fleet import endpoint_key, evacuated_data_centres
from lynxlanding.peers import (
    digest_codec,
    local_state,
    peer_identity,
    peer_report,
    peer_table,
    peer_view,
    protocol,
    report_codec,
    report_exchange,
    report_schedule,
)
from lynxlanding.store import store_version

MAX_DELAY_S = 0.01
LOSS = 0.03
# An older node repeats its report to each peer at this interval.
OLDER_REPORT_INTERVAL_S = 0.4


class Node:
    """Node of the current version."""

    def __init__(self, network, number, incarnation=1000):
        self.network = network
        self.node_id = f"n{number}"
        self.address = f"10.0.{number // 250}.{number % 250}:7340"
        identity = peer_identity.PeerIdentity(
            self.node_id, incarnation, self.address, "a", self.address.replace("7340", "8227")
        )
        self.table = peer_table.PeerTable(self.node_id)
        self.view = peer_view.PeerView(stall_tracker.StallTracker())
        self.view.set_endpoint_ids(network.endpoint_ids)
        self.tracker = load_tracker.LoadTracker()
        self.exchange = report_exchange.ReportExchange(
            identity, self.table, self.on_report, self.on_digest, network.random_state
        )
        self.loads = {}
        self.busy_groups = {}
        self.urgent_changes = 0
        self.end = None
        self.is_cut = False
        self.ends_heard = {}
        self.cold = []
        self.cold_changes = 0
        # Until when endpoints are cold by the reports of others, by id and start.
        self.cold_heard = {}
        self.reads_store = False
        self.evacuated = evacuated_data_centres.EvacuatedDataCentres()
        self.is_stopped = False
        self.sent = 0
        self.sent_bytes = 0
        self.received = 0

    def learn_all(self):
        """Learn of all nodes as from the store."""
        for node in self.network.nodes.values():
            self.table.record_registration(
                node.node_id, node.address, self.network.now, node.protocol_version
            )

    protocol_version = protocol.CURRENT

    def tick(self):
        if self.is_stopped:
            return
        if self.reads_store:
            self.evacuated.record_list(*self.network.stored_evacuations, self.network.now)
        self.evacuated.expire(self.network.now)
        for outgoing in self.exchange.make_datagrams(self.make_state(), self.network.now):
            self.send(outgoing.data, outgoing.addresses)
        self.view.expire_digests(self.network.now)
        self.tracker.expire_peers(self.network.now)
        self.network.schedule(report_schedule.REPORT_INTERVAL_S, self.tick)

    def send(self, data, addresses):
        for address in addresses:
            assert address != self.address
            self.sent += 1
            self.sent_bytes += len(data)
            self.network.send(data, address)

    def receive(self, data):
        if not self.is_stopped:
            self.received += 1
            self.exchange.receive(data, self.network.now)

    def on_report(self, report, now):
        loads = self.view.apply(report, now)
        if loads is not None:
            self.tracker.replace_peer_counts(report.node_id, loads, now)
        self.learn_evacuations(report, now)
        for end in report.prompts.ends:
            self.ends_heard.setdefault(end.endpoint_key, self.network.now)
        self.hear_cold(report, now)

    def on_digest(self, digest, own, now):
        member_ids = [self.table.find_node_id(member.key) for member in digest.members]
        loads = self.view.apply_digest(digest, member_ids, own, now)
        self.tracker.replace_digest_counts(digest.node_id, member_ids, loads, now)
        self.hear_cold(digest, now)
        self.learn_evacuations(digest, now)

    def hear_cold(self, source, now):
        for statement in self.view.resolve_cold(source, now):
            self.cold_heard[statement.endpoint_id, statement.started_ms] = statement.until

    def learn_evacuations(self, source, now):
        reported = source.evacuations
        if reported is not None:
            reading = evacuated_data_centres.EvacuationReading(
                frozenset(reported.data_centres),
                store_version.StoreVersion(reported.era, reported.revision),
                now - reported.age_ms / 1000,
            )
            self.evacuated.record_report(reading, source.node_id, now)

    def make_state(self):
        prompts = statements.PromptStatements()
        if self.end is not None:
            prompts = statements.PromptStatements((self.end,))
        return local_state.LocalState(
            dict(self.loads),
            frozenset(),
            1,
            False,
            dict(self.busy_groups),
            frozenset(),
            False,
            [],
            0,
            prompts,
            0,
            self.urgent_changes,
            not self.is_cut,
            self.is_cut,
            [],
            0,
            self.cold,
            self.cold_changes,
            self.evacuated.own_reading,
            self.evacuated.change_count,
        )

    def others_load(self):
        """Return the requests of the other nodes as this one counts them, by endpoint."""
        load = {}
        for endpoint_id in self.network.endpoint_ids:
            count = self.tracker.estimate(endpoint_id, self.network.now)
            if count:
                load[endpoint_id] = count
        return load

    def live_nodes(self):
        return set(self.table.live_node_ids(self.network.now))


class OlderNode(Node):
    """Node of a version that knows no digests and reports to all others in turn."""

    protocol_version = protocol.UNSTATED

    def __init__(self, network, number, incarnation=1000):
        super().__init__(network, number, incarnation)
        self._incarnation = incarnation
        self._sequence = 0
        self._codec = report_codec.ReportCodec()

    def tick(self):
        if self.is_stopped:
            return
        self._sequence += 1
        loads = {
            endpoint_key.hash_endpoint_id(endpoint_id): requests
            for endpoint_id, requests in self.loads.items()
        }
        report = peer_report.PeerReport(
            self.node_id, self._incarnation, self._sequence, self.address, 1, loads
        )
        self.send(self._codec.encode(report), self.table.target_addresses(self.network.now))
        self.tracker.expire_peers(self.network.now)
        self.network.schedule(OLDER_REPORT_INTERVAL_S, self.tick)

    def receive(self, data):
        assert protocol.get_kind(data) != digest_codec.KIND
        # It does not read the field that names gatherers.
        report = dataclasses.replace(self._codec.decode(data), gatherers=())
        if self.table.record_report(report, self.network.now):
            self.on_report(report, self.network.now)


class Network:
    """Simulated clock and datagrams."""

    def __init__(self, seed, node_count, older_count=0, endpoint_count=40, loss=LOSS):
        self.random_state = random.Random(seed)
        self.endpoint_ids = [f"e{number}" for number in range(endpoint_count)]
        self.loss = loss
        self.now = 100.0
        # Evacuated data centres in the store and its version.
        self.stored_evacuations = ((), store_version.StoreVersion(1, 1))
        self.nodes = {}
        self._by_address = {}
        self._queue = []
        self._order = itertools.count()
        for number in range(node_count):
            self.add((OlderNode if number < older_count else Node)(self, number))
        for node in self.nodes.values():
            node.learn_all()

    def add(self, node):
        self.nodes[node.node_id] = node
        self._by_address[node.address] = node
        self.schedule(self.random_state.uniform(0, report_schedule.REPORT_INTERVAL_S), node.tick)

    def schedule(self, after_s, action, *arguments):
        heapq.heappush(self._queue, (self.now + after_s, next(self._order), action, arguments))

    def send(self, data, address):
        if self.random_state.random() < self.loss:
            return
        delay_s = self.random_state.uniform(0, MAX_DELAY_S)
        self.schedule(delay_s, self.deliver, data, address)

    def deliver(self, data, address):
        node = self._by_address.get(address)
        if node is not None:
            node.receive(data)

    def evacuate(self, *data_centres):
        """Write the evacuated data centres to the store."""
        _, version = self.stored_evacuations
        version = store_version.StoreVersion(version.era, version.revision + 1)
        self.stored_evacuations = (data_centres, version)

    def run(self, for_s):
        until = self.now + for_s
        while self._queue and self._queue[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self._queue)
            action(*arguments)
        self.now = until

    def running(self):
        return [node for node in self.nodes.values() if not node.is_stopped]
