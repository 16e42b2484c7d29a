"""Trial of membership and propagation: the decision modules of a fleet on one event loop."""

import time

import numpy as np

from lynxlanding.configuration import head_watcher, propagation, propagation_decisions
from lynxlanding.membership import exchange_schedule, gossip, node_info
from lynxlanding.settings import daemon_settings
from lynxlanding_bench import control_network, event_loop

TICK_S = 0.25


class TrialNode:
    """One node of the trial."""

    def __init__(self, index, place, region, random_state):
        name = f"n{index:03d}"
        self.info = node_info.NodeInfo(name, 1, f"10.0.0.{index}:8081", place, region)
        self.gossip = gossip.Gossip(self.info, 0.0)
        self.schedule = exchange_schedule.ExchangeSchedule(self.info, 0.5, random_state, 0.0)
        self.propagation = propagation.Propagation(
            name, place, daemon_settings.ConfigurationSettings(), random_state, 0.0
        )
        self.members = ()
        self.is_watching = False
        self.adopted_at = {}
        self.process_time_s = 0.0
        self.exchanges = 0
        self.sent_bytes = 0
        self.received_bytes = 0


class ControlTrial:
    """A fleet whose nodes exchange, watch and fetch on an event loop.

    Parameters
    ----------
    seed : int
        Seed of the run.
    nodes : int
        Number of nodes.
    network : ControlNetwork
        Delays and faults.
    codec : MessageCodec or None
        Encodes every message and counts its bytes and its processor time; None skips both.
    """

    def __init__(self, seed, nodes, network, codec=None):
        self._random = np.random.default_rng(seed)
        self._network = network
        self._codec = codec
        self._loop = event_loop.EventLoop()
        self._head = (0, "")
        self._watchers = {}
        self.store_calls = 0
        self.nodes = {}
        self._by_address = {}
        places = control_network.places(nodes)
        for index in range(nodes):
            place = places[index % len(places)]
            region = control_network.region(place)
            node = TrialNode(index, place, region, self._random)
            self.nodes[node.info.node_id] = node
            self._by_address[node.info.address] = node
        for node in self.nodes.values():
            # The fleet has run for a while: every node knows every other one.
            for other in self.nodes.values():
                if other is not node:
                    node.gossip.table.register(other.info, 1, 0.0)
            self._loop.after(float(self._random.uniform(0, TICK_S)), self._tick, node, 0)

    @property
    def now(self):
        """Present time of the trial, seconds."""
        return self._loop.now

    @property
    def random_state(self):
        """Random state of the trial."""
        return self._random

    def after(self, delay_s, function, *arguments):
        """Call a function after a delay."""
        self._loop.after(delay_s, function, *arguments)

    def run(self, seconds):
        """Run the trial for some seconds."""
        self._loop.run_until(self._loop.now + seconds)

    def commit(self, node):
        """Accept one more revision and return its number.

        ``node`` committed it and holds it; None if that node stopped right after the commit.
        """
        number = self._head[0] + 1
        self._head = (number, f"{number:064x}")
        for respond in list(self._watchers.values()):
            respond()
        if node is None:
            return number
        self._carry_out(node, node.propagation.on_fetched(*self._head, self._loop.now))
        self._carry_out(node, node.propagation.on_head(*self._head, self._loop.now, self._loop.now))
        return number

    def _tick(self, node, count):
        now = self._loop.now
        self._loop.after(TICK_S, self._tick, node, count + 1)
        if count % 2 == 0:
            for record in node.gossip.tick(now):
                node.schedule.add_removed_address(record.info.address)
            members = node.gossip.members()
            if members is not node.members:
                node.members = members
                self._carry_out(node, node.propagation.on_members(members, now))
            for planned in node.schedule.due_exchanges(members, now):
                self._exchange(node, planned)
        self._carry_out(node, node.propagation.on_tick(now))

    def _exchange(self, node, planned):
        peer = self._by_address[planned.address]
        now = self._loop.now
        request, data = self._make(
            node,
            lambda: node.gossip.create_request(
                planned.scope, now, node.propagation.revision_report(now)
            ),
        )
        node.exchanges += 1
        delay = self._network.delay(node.info, peer.info)
        self._loop.after(delay, self._answer, peer, node, request, data, now)

    def _answer(self, peer, node, request, data, sent_at):
        now = self._loop.now
        request = self._take(peer, request, data)
        response, answer = self._make(
            peer,
            lambda: peer.gossip.handle_request(request, now, peer.propagation.revision_report(now)),
        )
        if request.revision_report is not None:
            decisions = peer.propagation.on_revision_report(
                node.info.node_id, request.revision_report, None, now
            )
            self._carry_out(peer, decisions)
        delay = self._network.delay(peer.info, node.info)
        self._loop.after(delay, self._finish, node, peer, response, answer, sent_at)

    def _finish(self, node, peer, response, data, sent_at):
        now = self._loop.now
        response = self._take(node, response, data)
        push, data = self._make(node, lambda: node.gossip.merge_response(response, now))
        if response.revision_report is not None:
            decisions = node.propagation.on_revision_report(
                peer.info.node_id, response.revision_report, sent_at, now
            )
            self._carry_out(node, decisions)
        if push is not None:
            delay = self._network.delay(node.info, peer.info)
            self._loop.after(delay, self._merge_push, peer, push, data)

    def _merge_push(self, peer, push, data):
        push = self._take(peer, push, data)
        started = time.perf_counter()
        peer.gossip.merge_push(push, self._loop.now)
        peer.process_time_s += time.perf_counter() - started

    def _make(self, node, build):
        """Build and encode a message of a node."""
        if self._codec is None:
            return build(), None
        started = time.perf_counter()
        message = build()
        data = None if message is None else self._codec.encode(message)
        node.process_time_s += time.perf_counter() - started
        if data is not None:
            node.sent_bytes += len(data) + control_network.HTTP_BYTES
        return message, data

    def _take(self, node, message, data):
        """Decode a message that a node received."""
        if data is None:
            return message
        node.received_bytes += len(data) + control_network.HTTP_BYTES
        started = time.perf_counter()
        message = self._codec.decode(data)
        node.process_time_s += time.perf_counter() - started
        return message

    def _carry_out(self, node, decisions):
        for decision in decisions:
            match decision:
                case propagation_decisions.SetWatching():
                    node.is_watching = decision.is_watching
                    if node.is_watching:
                        self._read(node)
                case propagation_decisions.ReadHead():
                    self._read(node)
                case propagation_decisions.Fetch():
                    self._fetch(node, decision)
                case propagation_decisions.Adopt():
                    node.adopted_at[decision.number] = self._loop.now
                case propagation_decisions.StartExchanges():
                    for planned in node.schedule.immediate_exchanges(node.members, decision.count):
                        self._exchange(node, planned)

    def _read(self, node):
        """Read the head; a watching node then waits for its next change."""
        self.store_calls += 1
        if not self._network.reaches_store(node.info.node_id):
            self._loop.after(control_network.FAILURE_S, self._read_failed, node)
            return
        # The store looks at the head at once and answers late, which is the worse order.
        delay = self._network.store_delay()
        self._loop.after(delay, self._head_arrives, node, self._loop.now, self._head)

    def _read_failed(self, node):
        self._carry_out(node, node.propagation.on_head_failed(self._loop.now))
        if node.is_watching:
            self._loop.after(head_watcher.MAX_RETRY_DELAY_S, self._read, node)

    def _head_arrives(self, node, read_at, head):
        if not self._network.reaches_store(node.info.node_id):
            self._read_failed(node)
            return
        number, digest = head
        if node.propagation.number == number - 1:
            # The head carries what leads from its parent to it.
            decisions = node.propagation.on_fetched(number, digest, self._loop.now)
            self._carry_out(node, decisions)
        decisions = node.propagation.on_head(number, digest, read_at, self._loop.now)
        self._carry_out(node, decisions)
        if node.is_watching:
            self._watch(node, head)

    def _watch(self, node, known):
        """Wait for a head other than the known one, or for the timeout of the watch."""
        self.store_calls += 1
        started = self._loop.now
        name = node.info.node_id
        if not self._network.reaches_store(name):
            self._loop.after(control_network.FAILURE_S, self._read_failed, node)
            return

        def respond():
            if self._watchers.get(name) is respond:
                del self._watchers[name]
                delay = self._network.store_delay()
                self._loop.after(delay, self._head_arrives, node, started, self._head)

        self._watchers[name] = respond
        self._loop.after(0.0 if known != self._head else head_watcher.WATCH_TIMEOUT_S, respond)

    def _fetch(self, node, fetch):
        if fetch.source == propagation_decisions.STORE:
            # Revision, manifest and one changed part, one after the other.
            self.store_calls += 3
            if self._network.reaches_store(node.info.node_id):
                delay = sum(self._network.store_delay() for _ in range(3))
                self._loop.after(delay, self._fetched, node, fetch)
                return
            self._loop.after(control_network.FAILURE_S, self._fetch_failed, node, fetch)
            return
        source = self.nodes[fetch.source]
        delay = self._network.delay(node.info, source.info)
        delay += self._network.delay(source.info, node.info)
        if fetch.number in source.adopted_at or source.propagation.number >= fetch.number:
            self._loop.after(delay, self._fetched, node, fetch)
            return
        self._loop.after(delay, self._fetch_failed, node, fetch)

    def _fetched(self, node, fetch):
        decisions = node.propagation.on_fetched(fetch.number, fetch.digest, self._loop.now)
        self._carry_out(node, decisions)

    def _fetch_failed(self, node, fetch):
        decisions = node.propagation.on_fetch_failed(fetch.digest, fetch.source, self._loop.now)
        self._carry_out(node, decisions)
