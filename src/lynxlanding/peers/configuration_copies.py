"""Passes the configuration on from node to node."""

import threading
import time

import eliot

from lynxlanding.errors import membership as membership_errors
from lynxlanding.observability import restarting_thread
from lynxlanding.peers import copy_answer, copy_offers, copy_sources, feed_codec, feed_message
from lynxlanding.transport import json_document

# Interval at which nodes that could not be asked before are looked at again.
POLL_S = 0.05

CONFIGURATION_COPIED = "lynxlanding:configuration:copied"
COPY_FAILED = "lynxlanding:configuration:copy_failed"


class ConfigurationCopies:
    """Copies of the configuration that this node offers to others and takes from them.

    A configuration is a state and not a series of changes, so that the newest one is all that a
    node needs. Nodes hear from reports, digests and the change feed which nodes have a newer one,
    and ask one of them, whether or not the store answers them. Each node that has got it offers it
    in turn.

    Parameters
    ----------
    kind : str
        Kind of the configuration in the store.
    client : CopyClient
        Asks other nodes.
    random_state : random.Random
        Spreads the nodes that ask over those that can be asked.
    """

    def __init__(self, kind, client, random_state):
        self._kind = kind
        self._client = client
        self._sources = copy_sources.CopySources(random_state)
        self._offers = copy_offers.CopyOffers()
        self._lock = threading.Lock()
        self._number = 0
        # Number up to which other nodes have only what this one cannot use.
        self._rejected_number = 0
        self._stored = None
        self._latest = None
        self._data = None
        self._behind_since = None
        self._on_copy = None
        self._wake = threading.Event()
        self._stop = threading.Event()
        self._received_total = 0
        self._sent_total = 0

    @property
    def kind(self):
        """Kind of the configuration in the store."""
        return self._kind

    @property
    def number(self):
        """Number of the configuration in force; 0 if there is none."""
        return self._number

    @property
    def version(self):
        """Version of the store at which the configuration in force was written, or None."""
        return None if self._stored is None else self._stored.version

    @property
    def latest(self):
        """Version of the store of the last configuration that was read, or None.

        It may not be in force, as a node of an earlier build may not be able to decode it.
        """
        return self._latest

    @property
    def received_total(self):
        """Number of copies that this node has taken from others."""
        return self._received_total

    @property
    def sent_total(self):
        """Number of copies that this node has passed on."""
        return self._sent_total

    @property
    def _wanted_above(self):
        return max(self._number, self._rejected_number)

    def start(self, on_copy):
        """Start the thread that asks other nodes.

        Parameters
        ----------
        on_copy : callable
            Called with the ``FeedMessage`` of each copy, which leads from any version to that at
            which the configuration was written.
        """
        self._on_copy = on_copy
        restarting_thread.start(self._run, "configuration copies")

    def stop(self):
        """Signal the thread to stop."""
        self._stop.set()
        self._wake.set()

    def record_own(self, number, stored):
        """Record the ``StoredObject`` of the configuration that has come into force."""
        with self._lock:
            self._number = number
            self._stored = stored
            self._data = None
            self._behind_since = None

    def record_read(self, version):
        """Record that a configuration was read, whether or not it can be used.

        ``version`` is the ``StoreVersion`` at which it was written.
        """
        if self._latest is None or self._latest.era != version.era or self._latest < version:
            self._latest = version

    def record_holder(self, address, number):
        """Record that a node has the configuration with a number, or a later one."""
        if number <= self._wanted_above:
            return
        with self._lock:
            self._sources.record_holder(address, number)
            if self._behind_since is None:
                self._behind_since = time.monotonic()
        self._wake.set()

    def record_newer(self, address):
        """Record that a node has a newer configuration than this one."""
        self.record_holder(address, self._number + 1)

    def serve(self, number, address):
        """Return the ``CopyAnswer`` to a node whose configuration has a number.

        Parameters
        ----------
        number : int
            Number of the other node's configuration.
        address : str
            ``host:port`` at which it serves other nodes; empty if it does not.
        """
        with self._lock:
            if self._number <= number:
                return copy_answer.CopyAnswer()
            data = self._encode()
            if data is None:
                return copy_answer.CopyAnswer()
            if not self._offers.admit(self._number, len(data), address, time.monotonic()):
                return copy_answer.CopyAnswer(
                    is_busy=True, holders=tuple(self._offers.receivers(address))
                )
            self._sent_total += 1
            return copy_answer.CopyAnswer(data)

    def _encode(self):
        """Return the encoded configuration in force; None if it cannot be encoded as it was."""
        if self._data is None and json_document.is_readable(self._stored.value):
            version = self._stored.version
            message = feed_message.FeedMessage(self._kind, version, version)
            self._data = feed_codec.encode_whole(feed_message.replace_all(message, self._stored))
        return self._data

    def _decode(self, data):
        message = feed_codec.decode_whole(data)
        if not isinstance(message, feed_message.FeedMessage) or message.kind != self._kind:
            raise membership_errors.MalformedMessage("the copy is not of a configuration")
        return message

    def _run(self):
        while not self._stop.is_set():
            self._wake.wait(None if not self._is_behind() else POLL_S)
            self._wake.clear()
            while self._ask_one():
                continue

    def _is_behind(self):
        with self._lock:
            return self._sources.is_behind(self._wanted_above)

    def _ask_one(self):
        """Ask a node for its configuration; return whether there was one to ask."""
        asked_at = time.monotonic()
        with self._lock:
            number = self._number
            behind_since = self._behind_since
            address = self._sources.choose(self._wanted_above, asked_at)
        if address is None:
            return False
        try:
            answer = self._client.fetch(address, number)
            message = None if answer.data is None else self._decode(answer.data)
        except membership_errors.MembershipError as e:
            self._record_failure(address, e.type_name, str(e))
            return True
        now = time.monotonic()
        if message is None:
            with self._lock:
                for holder in answer.holders:
                    self._sources.record_holder(holder, number + 1)
                if answer.is_busy:
                    self._sources.record_busy(address, now)
                else:
                    self._sources.record_unchanged(address, now)
            return True
        self._on_copy(message)
        if self._number <= number:
            with self._lock:
                self._rejected_number = self._sources.number_of(address)
            self._record_failure(address, "not_newer", f"version {message.version}")
            return True
        eliot.log_message(
            message_type=CONFIGURATION_COPIED,
            version=self._number,
            previous=number,
            address=address,
            size=len(answer.data),
            duration_s=round(now - asked_at, 3),
            # Time since this node has first heard of a newer one.
            behind_s=None if behind_since is None else round(now - behind_since, 3),
        )
        self._received_total += 1
        return True

    def _record_failure(self, address, error, detail):
        with self._lock:
            self._sources.record_failure(address, time.monotonic())
        eliot.log_message(
            message_type=COPY_FAILED, address=address, error=error, detail=detail[:200]
        )
