"""Passes changes of the store from the nodes that read them to the others."""

import collections
import logging
import threading
import time

from lynxlanding.errors import membership as membership_errors
from lynxlanding.observability import restarting_thread
from lynxlanding.peers import feed_codec, feed_message, feed_roles

SUBSCRIPTION_INTERVAL_S = 0.4
# A node that has received nothing for this long reads from the store itself. A relay publishes
# twice a second at least, so that one lost datagram does not suffice for that.
FEED_TIMEOUT_S = 1.2
SUBSCRIPTION_LIFETIME_S = 2.0
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
    timeouts_s : dict of str to float, optional
        Used in place of ``FEED_TIMEOUT_S``, by kind of objects, and kept exactly.
    """

    def __init__(self, identity, table, read_store_nodes, send, timeouts_s=None):
        self._identity = identity
        self._table = table
        self._read_store_nodes = read_store_nodes
        self._send = send
        self._timeouts_s = dict(timeouts_s or {})
        self._stop = threading.Event()
        self._subscribers = {}
        self._waiting = {}
        self._received_at = {}
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

    def receive(self, data, now):
        """Accept a datagram of another node."""
        try:
            message = feed_codec.decode(data)
        except membership_errors.MalformedMessage as e:
            _logger.warning("dropped a malformed feed message: %s", e)
            return
        if isinstance(message, feed_message.Subscription):
            self._subscribers[message.address] = now + SUBSCRIPTION_LIFETIME_S
            return
        with self._arrived:
            self._received_at[message.kind] = now
            queue = self._waiting.setdefault(
                message.kind, collections.deque(maxlen=MAX_WAITING_MESSAGES)
            )
            queue.append(message)
            self._arrived.notify_all()

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
        self._send_to_subscribers(
            feed_message.FeedMessage(
                kind,
                after or batch.version,
                batch.version,
                tuple(batch.puts),
                tuple(batch.deletes),
                is_complete=after is not None,
                was_outage=was_outage,
            )
        )

    def watch(self, kind, after, timeout_s):
        """Wait for the changes since a version and return the next ``FeedMessage``.

        Returns None if they must be read from the store: nothing was received lately, or there is a
        gap. A message without changes is returned after ``timeout_s``.
        """
        end = time.monotonic() + timeout_s
        feed_timeout_s = self._timeouts_s.get(kind, FEED_TIMEOUT_S)
        with self._arrived:
            while True:
                now = time.monotonic()
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
                    if message.after > after or not message.is_complete:
                        return None
                    return message
                if now >= end:
                    return feed_message.FeedMessage(kind, after, after)
                remaining_s = feed_timeout_s
                if kind in self._timeouts_s:
                    # Of the other kinds, a silent relay is noticed up to one wait later.
                    remaining_s -= silent_s
                self._arrived.wait(min(end - now, remaining_s))

    def _run(self):
        while not self._stop.wait(SUBSCRIPTION_INTERVAL_S):
            relay = feed_roles.choose_relay(self._identity.node_id, self._read_store_nodes())
            if relay != self._identity.node_id:
                self._subscribe(relay)

    def _subscribe(self, relay):
        peer = self._table.peers.get(relay)
        if peer is not None:
            subscription = feed_message.Subscription(self._identity.address)
            self._send(feed_codec.encode_subscription(subscription), peer.address)

    def _send_to_subscribers(self, message):
        now = time.monotonic()
        addresses = []
        for address, expires_at in list(self._subscribers.items()):
            if now >= expires_at:
                del self._subscribers[address]
                continue
            addresses.append(address)
        if not addresses:
            return
        for data in feed_codec.encode(message):
            for address in addresses:
                self._send(data, address)
