"""A fleet that follows the store, on a simulated clock and without a network."""

import collections
import random

from lynxlanding.peers import directory_schedule, feed_roles, store_access

STEP_S = 0.02
KINDS = ("servers", "config")
RETRY_PAUSE_S = 0.2
REPORT_DELAY_S = 0.3
LIVENESS_TIMEOUT_S = 1.3
SUBSCRIPTION_INTERVAL_S = 0.4
SUBSCRIPTION_LIFETIME_S = 2.0
READ_MARGIN_S = 0.8
WATCH_PAUSES_S = {"servers": store_access.RELAY_WATCH_PAUSE_S, "config": 0.0}


class Watcher:
    """What one node does for one kind of objects."""

    def __init__(self):
        self.version = 0
        self.confirmed_at = 0.0
        self.busy_until = None
        self.idle_until = 0.0
        self.call_fails = False
        self.is_unavailable = False
        self.fed_at = -10.0
        self.called_at = -10.0
        self.published_at = None


class Node:
    def __init__(self, node_id, seed):
        self.node_id = node_id
        self.access = store_access.StoreAccess(node_id, random.Random(seed))
        self.directory = directory_schedule.DirectorySchedule(random.Random(seed + 1000))
        self.watchers = {kind: Watcher() for kind in KINDS}
        self.is_alive = True
        self.is_cut_from_relays = False
        self.is_flagged = False
        self.flag_history = collections.deque([(0.0, False)], maxlen=200)
        self.subscribers = {}
        self.subscribed_at = random.Random(seed + 2000).uniform(-SUBSCRIPTION_INTERVAL_S, 0)
        self.told_at = 0.0
        self.died_at = None
        self.substitute = (None, 0.0)

    def reported_flag(self, now):
        """The flag as other nodes know it."""
        known = False
        for since, is_flagged in self.flag_history:
            if since <= now - REPORT_DELAY_S:
                known = is_flagged
        return known


class Fleet:
    """Nodes, and a store that answers, refuses at once or is silent.

    ``answers(node_id, now)`` returns whether the store answers a node; ``is_silent`` whether calls
    that it does not answer end only by their timeout.
    """

    def __init__(self, count, answers, *, is_silent=False, change_times=()):
        self.nodes = {f"n{number}": Node(f"n{number}", number) for number in range(count)}
        self.answers = answers
        self.is_silent = is_silent
        self.now = 0.0
        self.version = 1
        self.calls = collections.Counter()
        self.call_times = []
        self.change_times = collections.deque(change_times)
        self.known_at = {}
        for number, node in enumerate(self.nodes.values()):
            node.directory.record_listed(0.0, True, 1, reads_for_others=True)
            # Nodes that have run for a while list at different times.
            node.directory._next_at = random.Random(number).uniform(0.0, 20.0)
            for watcher in node.watchers.values():
                watcher.version = 1

    def run(self, until):
        while self.now < until:
            self.now += STEP_S
            if self.change_times and self.now >= self.change_times[0]:
                self.change_times.popleft()
                self.version += 1
                self.known_at[self.version] = {}
            self._update_roles()
            for node in self.nodes.values():
                if node.is_alive:
                    self._step_node(node)

    def kill(self, node_id):
        self.nodes[node_id].is_alive = False
        self.nodes[node_id].died_at = self.now

    def relays(self):
        return feed_roles.choose_relays(list(self.nodes), list(self.nodes))

    def count_calls(self, start, end):
        return sum(start <= at < end for at in self.call_times)

    def last_known_delay_s(self, version, changed_at):
        """The time until the last live node knew a version."""
        delays = []
        for node in self.nodes.values():
            if node.is_alive:
                delays.append(self.known_at[version][node.node_id] - changed_at)
        return max(delays)

    def unnoticed_silence_s(self, node_id):
        """The longest time for which a node has used data without a confirmation of the store."""
        watchers = self.nodes[node_id].watchers.values()
        return max([0.0, *(self.now - w.confirmed_at for w in watchers if not w.is_unavailable)])

    def _live_ids(self):
        live = []
        for node in self.nodes.values():
            if node.is_alive or self.now - node.died_at < LIVENESS_TIMEOUT_S:
                live.append(node.node_id)
        return live

    def _update_roles(self):
        due = [n for n in self.nodes.values() if n.is_alive]
        due = [n for n in due if self.now - n.subscribed_at >= SUBSCRIPTION_INTERVAL_S]
        if not due:
            return
        live = self._live_ids()
        flagged = {n for n in live if self.nodes[n].reported_flag(self.now)}
        for node in due:
            node.subscribed_at = self.now
            own = {node.node_id} if node.is_flagged else set()
            usable = [n for n in live if n not in flagged | own]
            if node.node_id not in own and node.node_id not in usable:
                usable.append(node.node_id)
            node.access.use_fleet(live, usable or live)
            if node.access.is_large:
                relays = node.access.relays_to_follow(self.now)
            else:
                relay = feed_roles.choose_relay(node.node_id, usable or live)
                relays = [relay] if relay != node.node_id else []
            for relay in relays:
                self._subscribe(node, self.nodes[relay])
            if self.now < node.substitute[1]:
                self._subscribe(node, node.substitute[0])

    def _subscribe(self, node, relay):
        if not relay.is_alive or node.is_cut_from_relays:
            return
        is_new = node.node_id not in relay.subscribers
        relay.subscribers[node.node_id] = self.now + SUBSCRIPTION_LIFETIME_S
        if not is_new or not node.access.is_large:
            return
        for kind, watcher in relay.watchers.items():
            if watcher.published_at is None:
                continue
            if self.now - watcher.published_at < store_access.FEED_TIMEOUT_S:
                is_substitute = relay.access.is_substitute
                self._feed(node, kind, watcher.version, watcher.published_at, is_substitute)

    def _feed(self, node, kind, version, answered_at, is_substitute=False):
        watcher = node.watchers[kind]
        node.access.record_feed(kind, answered_at, is_from_substitute=is_substitute)
        watcher.fed_at = max(answered_at, watcher.fed_at)
        self._learn(node, watcher, version, answered_at)

    def _learn(self, node, watcher, version, confirmed_at):
        watcher.is_unavailable = False
        watcher.confirmed_at = max(watcher.confirmed_at, confirmed_at)
        if version > watcher.version:
            watcher.version = version
            if watcher is node.watchers["servers"]:
                self.known_at[version].setdefault(node.node_id, self.now)

    def _step_node(self, node):
        for kind, watcher in node.watchers.items():
            self._step_watcher(node, kind, watcher)
        self._step_directory(node)
        if not node.access.is_large:
            return
        kinds = node.access.waiting_kinds(self.now)
        if kinds and self.now - node.told_at >= SUBSCRIPTION_INTERVAL_S:
            node.told_at = self.now
            for subscriber in self._subscribers(node):
                subscriber.access.record_waiting_relay(kinds, self.now)
        if self.now - node.subscribed_at > 0.1:
            for relay in node.access.relays_to_follow(self.now)[1:]:
                if node.node_id not in self.nodes[relay].subscribers:
                    self._subscribe(node, self.nodes[relay])

    def _subscribers(self, node):
        found = []
        for node_id, expires_at in list(node.subscribers.items()):
            if self.now >= expires_at:
                del node.subscribers[node_id]
            elif self.nodes[node_id].is_alive and not self.nodes[node_id].is_cut_from_relays:
                found.append(self.nodes[node_id])
        return found

    def _step_watcher(self, node, kind, watcher):
        if watcher.busy_until is not None:
            self._step_call(node, kind, watcher)
            return
        if self.now < watcher.idle_until:
            return
        is_fed = self.now - watcher.fed_at < store_access.FEED_TIMEOUT_S
        reads_for_others = node.access.is_relay or node.access.is_substitute
        if is_fed and not (reads_for_others and not node.access.is_failing):
            return
        if not node.access.decide(kind, self.now).may_call:
            watcher.is_unavailable = True
            return
        timeout_s = 2.5
        if node.subscribers:
            timeout_s = store_access.RELAY_WATCH_TIMEOUT_S if node.access.is_large else 0.4
        if watcher.fed_at > watcher.called_at:
            # The feed may have ended because the store does not respond.
            timeout_s = 0.2
        if watcher.is_unavailable:
            timeout_s = 0.01 if node.access.is_large else 0.2
        watcher.called_at = self.now
        self._count(kind)
        if not self.answers(node.node_id, self.now):
            watcher.call_fails = True
            wait_s = timeout_s + READ_MARGIN_S if self.is_silent else 0.01
            watcher.busy_until = self.now + wait_s
            return
        watcher.call_fails = False
        watcher.busy_until = self.now + timeout_s

    def _step_call(self, node, kind, watcher):
        if not watcher.call_fails and not self.answers(node.node_id, self.now):
            # The store has stopped to answer during the call.
            watcher.call_fails = True
            watcher.busy_until = self.now + READ_MARGIN_S if self.is_silent else self.now
        if watcher.call_fails:
            if self.now < watcher.busy_until:
                return
            watcher.busy_until = None
            watcher.is_unavailable = True
            self._flag(node, True)
            node.access.record_failure(self.now)
            watcher.idle_until = self.now + (0.0 if node.access.is_large else RETRY_PAUSE_S)
            return
        if self.now < watcher.busy_until and watcher.version >= self.version:
            return
        was_outage = watcher.is_unavailable
        watcher.busy_until = None
        watcher.idle_until = self.now + WATCH_PAUSES_S[kind]
        watcher.published_at = self.now
        self._flag(node, False)
        node.access.record_answer(self.now, kind)
        self._learn(node, watcher, self.version, self.now)
        targets = self._subscribers(node)
        is_substitute = node.access.is_substitute
        if was_outage and node.access.is_large and (node.access.is_relay or is_substitute):
            targets = [n for n in self.nodes.values() if n.is_alive and n is not node]
            targets = [n for n in targets if not n.is_cut_from_relays]
        for subscriber in targets:
            if is_substitute:
                subscriber.substitute = (node, self.now + SUBSCRIPTION_LIFETIME_S)
            self._feed(subscriber, kind, self.version, self.now, is_substitute)

    def _step_directory(self, node):
        step = node.directory.next_step(
            self.now,
            1,
            is_believed_down=node.access.is_believed_down(self.now),
            is_failing=node.is_flagged,
        )
        if step.call is None:
            return
        self._count(step.call)
        for_others = not node.access.is_large or node.access.is_relay
        if not self.answers(node.node_id, self.now):
            self._flag(node, True)
            node.directory.record_failed(self.now, reads_for_others=for_others)
            return
        self._flag(node, False)
        node.access.record_answer(self.now)
        node.directory.record_listed(self.now, True, 1, reads_for_others=for_others)

    def _flag(self, node, is_flagged):
        if node.is_flagged != is_flagged:
            node.is_flagged = is_flagged
            node.flag_history.append((self.now, is_flagged))

    def _count(self, operation):
        self.calls[operation] += 1
        self.call_times.append(self.now)
