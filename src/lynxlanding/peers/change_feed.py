"""Passes changes of the store from the nodes that read them to the others."""

import collections
import dataclasses
import logging
import threading
import time

from lynxlanding.errors import membership as membership_errors
from lynxlanding.observability import restarting_thread
from lynxlanding.peers import (
    change_log,
    feed_codec,
    feed_message,
    feed_roles,
    fragment_assembler,
    store_access,
)

SUBSCRIPTION_INTERVAL_S = 0.4
# Interval at which silence of the store or of a relay is noticed in a large fleet.
SILENCE_CHECK_INTERVAL_S = 0.1
FEED_TIMEOUT_S = store_access.FEED_TIMEOUT_S
# A relay answers a request for missed changes at once; without an answer, they are read from the
# store.
CATCH_UP_TIMEOUT_S = 0.3
SUBSCRIPTION_LIFETIME_S = 2.0
# A copy of the configuration arrives within this time, also if several nodes are asked for it.
COPY_TIMEOUT_S = 1.0
# Messages that wait for their watcher; the oldest are dropped, which shows as a gap.
MAX_WAITING_MESSAGES = 64

_logger = logging.getLogger(__name__)


class ChangeFeed:
    """Relays changes to subscribers and receives those of another relay.

    The platform charges each call to the store, and every change would cost a call of every node.
    A node that receives no feed, or one with a gap, reads from the store itself. A relay sends only
    what the store has just answered: if it sent anything else, its subscribers would not notice
    that its connection to the store has gone silent.

    Parameters
    ----------
    identity : PeerIdentity
        This node.
    table : PeerTable
        The other nodes.
    read_store_nodes : callable
        Returns the ids of the live nodes that the store answers.
    send : callable
        Sends a datagram: ``send(data, address)``.
    access : StoreAccess, optional
        Learns what the relays say, and the roles of the nodes. Without it, and in a small fleet,
        each node that misses something reads it from the store.
    timeouts_s : dict of str to float, optional
        Used in place of ``FEED_TIMEOUT_S``, by kind of objects, and kept exactly.
    copies : ConfigurationCopies, optional
        Asks other nodes for the configuration, which is too large for the feed. Without it, all
        kinds are asked of relays or read from the store.
    """

    def __init__(
        self,
        identity,
        table,
        read_store_nodes,
        send,
        access=None,
        timeouts_s=None,
        copies=None,
    ):
        self._identity = identity
        self._table = table
        self._read_store_nodes = read_store_nodes
        self._send = send
        self._access = access
        self._timeouts_s = dict(timeouts_s or {})
        self._copies = copies
        self._stop = threading.Event()
        self._subscribers = {}
        self._waiting = {}
        self._received_at = {}
        self._received_counts = {}
        self._did_read_for_others = False
        # Versions that this node has reached, and what it has published, by kind.
        self._versions = {}
        self._logs = {}
        self._published_at = {}
        self._assembler = fragment_assembler.FragmentAssembler()
        self._subscribed_at = 0.0
        self._told_waiting_at = 0.0
        # Address of a node that acts as a relay, and until when it is asked.
        self._substitute = ("", 0.0)
        # Second relays that have been asked since this node follows one of them.
        self._asked_relays = set()
        self._arrived = threading.Condition()

    @property
    def has_subscribers(self):
        """Whether other nodes rely on this one's reads."""
        return bool(self._subscribers)

    def start(self):
        """Start the thread that subscribes to a relay."""
        restarting_thread.start(self._run, "change feed")

    def stop(self):
        """Signal the thread to stop."""
        self._stop.set()

    def receive(self, data, now, sender=""):
        """Accept a datagram of another node, which has sent it from an address."""
        try:
            message = feed_codec.decode(data)
            if isinstance(message, fragment_assembler.Fragment):
                whole = self._assembler.add(message, now)
                if whole is None:
                    return
                message = feed_codec.decode_whole(whole)
        except membership_errors.MalformedMessage as e:
            _logger.warning("dropped a malformed feed message: %s", e)
            return
        if isinstance(message, fragment_assembler.Fragment):
            _logger.warning("dropped a malformed feed message: fragments within a fragment")
            return
        if isinstance(message, feed_message.Subscription):
            self._subscribers[message.address] = now + SUBSCRIPTION_LIFETIME_S
            self._send_missed(message, now)
            return
        if message.kind == feed_message.WAITING:
            if self._access is not None:
                self._access.record_waiting_relay(message.waiting_kinds, now)
            return
        answered_at = now - message.age_ms / 1000
        if self._access is not None:
            self._access.record_feed(
                message.kind, answered_at, is_from_substitute=bool(message.substitute_address)
            )
        if message.substitute_address:
            self._substitute = (message.substitute_address, now + SUBSCRIPTION_LIFETIME_S)
        if sender and self._is_newer_copy(message):
            self._copies.record_newer(sender)
        with self._arrived:
            received_at = self._received_at.get(message.kind, answered_at)
            self._received_at[message.kind] = max(received_at, answered_at)
            received_count = self._received_counts.get(message.kind, 0)
            self._received_counts[message.kind] = received_count + 1
            self._queue(message)

    def deliver(self, message):
        """Hand a ``FeedMessage`` that came as a copy to the watcher of its kind."""
        with self._arrived:
            self._queue(message)

    def publish(self, kind, after, batch, *, was_outage):
        """Pass on what a call to the store has returned.

        Parameters
        ----------
        kind : str
            Kind of the objects.
        after : StoreVersion or None
            Version that the changes follow; None if a list has replaced all objects.
        batch : WatchBatch
            Changes and the version that they lead to.
        was_outage : bool
            Whether these are the first changes after an outage of the store.
        """
        message = feed_message.FeedMessage(
            kind,
            after or batch.version,
            batch.version,
            tuple(batch.puts),
            tuple(batch.deletes),
            is_complete=after is not None,
            was_outage=was_outage,
        )
        is_substitute = self._access is not None and self._access.is_substitute
        if is_substitute:
            message = dataclasses.replace(message, substitute_address=self._identity.address)
        if self._is_copied(kind):
            message = dataclasses.replace(message, latest=self._copies.latest)
        self._keep(message)
        addresses = self._subscriber_addresses(time.monotonic())
        is_announced = self._is_in_large_fleet() and (self._access.is_relay or is_substitute)
        if was_outage and is_announced:
            # Nodes may have lost their relay meanwhile, and wait to hear that the store is back.
            addresses.update(peer.address for peer in list(self._table.peers.values()))
            addresses.discard(self._identity.address)
        self._send_to(addresses, feed_codec.encode(message) if addresses else ())

    def watch(self, kind, after, timeout_s):
        """Wait for the changes since a version and return the next ``FeedMessage``.

        Returns None if they must be read from the store: nothing was received lately, or there is a
        gap. A message without changes is returned after ``timeout_s``.
        """
        end = time.monotonic() + timeout_s
        asked_at = None
        answer_timeout_s = CATCH_UP_TIMEOUT_S
        feed_timeout_s = self._timeouts_s.get(kind, FEED_TIMEOUT_S)
        with self._arrived:
            self._versions[kind] = after
            while True:
                now = time.monotonic()
                if self._reads_for_others():
                    # A node that has just become a relay would follow its former one for seconds,
                    # and have nothing for its own subscribers meanwhile.
                    return None
                if asked_at is not None and now - asked_at >= answer_timeout_s:
                    return None
                silent_s = now - self._received_at.get(kind, -feed_timeout_s)
                if silent_s >= feed_timeout_s:
                    return None
                queue = self._waiting.get(kind)
                while queue:
                    message = queue.popleft()
                    if message.version.era != after.era:
                        return None
                    if message.version <= after:
                        continue
                    if message.after <= after and message.is_complete:
                        return message
                    if message.latest is not None and message.latest <= after:
                        # What the message lacks has come as a copy.
                        return dataclasses.replace(message, after=after, puts=(), is_complete=True)
                    if asked_at is None and self._is_in_large_fleet():
                        asked_at = now
                        if message.latest is None:
                            self._ask(kind, after, now)
                        else:
                            answer_timeout_s = COPY_TIMEOUT_S
                    if asked_at is None:
                        return None
                if asked_at is not None:
                    self._arrived.wait(asked_at + answer_timeout_s - now)
                    continue
                if now >= end:
                    return feed_message.FeedMessage(kind, after, after)
                remaining_s = feed_timeout_s
                if kind in self._timeouts_s:
                    # Of the other kinds, a silent relay is noticed up to one wait later.
                    remaining_s -= silent_s
                self._arrived.wait(min(end - now, remaining_s))

    def skip_copied(self, kind, after):
        """Return the version from which the store is read, given that of the last reading.

        What a node has got as a copy it need not read: the changes of a large configuration may be
        more than the store returns in one answer.
        """
        copied = self._copies.version if self._is_copied(kind) else None
        if copied is None or copied.era != after.era:
            return after
        return max(copied, after)

    def wait_for_message(self, kind, timeout_s):
        """Wait until the next message of a kind arrives."""
        end = time.monotonic() + timeout_s
        with self._arrived:
            count = self._received_counts.get(kind, 0)
            while self._received_counts.get(kind, 0) == count:
                now = time.monotonic()
                if now >= end:
                    return
                self._arrived.wait(end - now)

    def _run(self):
        while not self._stop.wait(self._interval_s()):
            now = time.monotonic()
            is_due = now - self._subscribed_at >= SUBSCRIPTION_INTERVAL_S
            if is_due or not self._is_in_large_fleet():
                self._subscribed_at = now
                store_nodes = self._read_store_nodes()
                if self._access is not None:
                    self._access.use_fleet(self._table.live_node_ids(now), store_nodes)
                if not self._is_in_large_fleet():
                    relay = feed_roles.choose_relay(self._identity.node_id, store_nodes)
                    if relay != self._identity.node_id:
                        self._subscribe(relay)
            self._notice_role()
            if self._is_in_large_fleet():
                self._follow_relays(now, is_due)
                self._tell_waiting(now)

    def _reads_for_others(self):
        """Return whether this node is a relay of a large fleet that the store answers."""
        if not self._is_in_large_fleet() or self._access.is_failing:
            return False
        return self._access.is_relay or self._access.is_substitute

    def _is_copied(self, kind):
        return self._copies is not None and kind == self._copies.kind

    def _is_newer_copy(self, message):
        """Return whether the sender of a message has a newer configuration to copy.

        In a small fleet, the nodes that the store answers read it there as soon.
        """
        if self._copies is None or message.latest is None or not self._is_in_large_fleet():
            return False
        own_version = self._copies.version
        if own_version is None:
            return True
        return own_version.era == message.latest.era and own_version < message.latest

    def _notice_role(self):
        """Wake the watchers that follow another relay once this node has become one."""
        if self._reads_for_others() != self._did_read_for_others:
            with self._arrived:
                self._did_read_for_others = not self._did_read_for_others
                self._arrived.notify_all()

    def _interval_s(self):
        if self._is_in_large_fleet():
            return min(SILENCE_CHECK_INTERVAL_S, SUBSCRIPTION_INTERVAL_S)
        return SUBSCRIPTION_INTERVAL_S

    def _is_in_large_fleet(self):
        return self._access is not None and self._access.is_large

    def _follow_relays(self, now, is_due):
        """Subscribe to a relay, and to a second one while the first is silent."""
        relays = self._access.relays_to_follow(now)
        if is_due:
            for relay in relays[:1]:
                self._subscribe(relay)
            self._asked_relays.intersection_update(relays)
        if is_due and now < self._substitute[1]:
            self._subscribe_at(self._substitute[0])
        for relay in relays[1:]:
            if is_due or relay not in self._asked_relays:
                self._asked_relays.add(relay)
                self._subscribe(relay, dict(self._versions))

    def _tell_waiting(self, now):
        """Tell the subscribers that the store does not answer, so that they do not call it too."""
        kinds = self._access.waiting_kinds(now)
        addresses = self._subscriber_addresses(now)
        if kinds and addresses and now - self._told_waiting_at >= SUBSCRIPTION_INTERVAL_S:
            self._told_waiting_at = now
            self._send_to(addresses, feed_codec.encode(feed_message.make_waiting_message(kinds)))

    def _subscribe(self, relay, versions=None):
        peer = self._table.peers.get(relay)
        if peer is not None:
            self._subscribe_at(peer.address, versions)

    def _subscribe_at(self, address, versions=None):
        subscription = feed_message.Subscription(self._identity.address, versions or {})
        self._send(feed_codec.encode_subscription(subscription), address)

    def _ask(self, kind, after, now):
        """Ask the relays for what follows a version."""
        for relay in self._access.relays_to_follow(now):
            self._subscribe(relay, {kind: after})
        if now < self._substitute[1]:
            self._subscribe_at(self._substitute[0], {kind: after})

    def _queue(self, message):
        queue = self._waiting.setdefault(
            message.kind, collections.deque(maxlen=MAX_WAITING_MESSAGES)
        )
        queue.append(message)
        self._arrived.notify_all()

    def _keep(self, message):
        """Keep a published message for subscribers that miss it."""
        with self._arrived:
            self._published_at[message.kind] = time.monotonic()
            log = self._logs.get(message.kind)
            if self._is_copied(message.kind) and message.puts:
                # A configuration replaces the earlier ones, each of which has up to 1 MB.
                message = feed_message.replace_all(message, message.puts[-1])
                self._logs[message.kind] = change_log.ChangeLog(message.after)
                self._logs[message.kind].append(message)
            elif not message.is_complete:
                # A list has replaced all objects.
                self._logs[message.kind] = change_log.ChangeLog(message.version)
            elif log is None or not log.append(message):
                self._logs[message.kind] = change_log.ChangeLog(message.after)
                self._logs[message.kind].append(message)

    def _send_missed(self, subscription, now):
        """Send a subscriber what follows the versions that it states."""
        for kind, version in subscription.versions.items():
            with self._arrived:
                log = self._logs.get(kind)
                published_at = self._published_at.get(kind)
                messages = None if log is None else log.since(version)
            if messages is None or now - published_at >= FEED_TIMEOUT_S:
                continue
            age_ms = int((now - published_at) * 1000) + 1
            for message in messages or [feed_message.FeedMessage(kind, version, version)]:
                aged = dataclasses.replace(message, age_ms=age_ms)
                self._send_to([subscription.address], feed_codec.encode_requested(aged))

    def _subscriber_addresses(self, now):
        addresses = set()
        for address, expires_at in list(self._subscribers.items()):
            if now >= expires_at:
                self._subscribers.pop(address, None)
                continue
            addresses.add(address)
        return addresses

    def _send_to(self, addresses, datagrams):
        for data in datagrams:
            for address in addresses:
                self._send(data, address)
