"""Exchange of load reports with other nodes over UDP."""

import logging
import random
import socket
import threading
import time

import eliot

from lynxlanding.errors import membership as membership_errors
from lynxlanding.observability import restarting_thread
from lynxlanding.peers import (
    datagram_counts,
    digest_codec,
    feed_codec,
    protocol,
    report_codec,
    report_exchange,
    report_schedule,
)

# Bounds the memory for senders whose datagrams of unknown kinds have been logged.
MAX_LOGGED_UNKNOWN = 1000

GATHERERS_CHANGED = "lynxlanding:peers:gatherers_changed"

_logger = logging.getLogger(__name__)


class ReportTransport:
    """Sends this node's reports and receives those of its peers.

    Parameters
    ----------
    identity : PeerIdentity
        This node: ``node_id``, ``incarnation`` and ``address``.
    table : PeerTable
        The other nodes.
    build_state : callable
        Returns the ``LocalState`` to report.
    on_report : callable
        Called with each new ``PeerReport`` and its time of arrival, in monotonic seconds.
    on_digest : callable
        Called with each new ``ReportDigest``, the ``OwnContribution`` in it, and its arrival.
    on_feed : callable
        Called with each datagram of the change feed, its time of arrival and its sender's address.
    random_state : random.Random
        Shuffles the recipients of reports.
    """

    def __init__(
        self, identity, table, build_state, on_report, on_digest, on_feed, random_state=None
    ):
        self._identity = identity
        self._build_state = build_state
        self._on_feed = on_feed
        self._exchange = report_exchange.ReportExchange(
            identity, table, on_report, on_digest, random_state or random.Random()
        )
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._unknown_kinds = set()
        self._unknown_total = 0
        self._malformed_total = 0
        self._sent = datagram_counts.DatagramCounts()
        self._received = datagram_counts.DatagramCounts()
        self._gatherers = ()
        self._stop = threading.Event()

    @property
    def unknown_total(self):
        """Number of skipped datagrams of kinds that this version does not know."""
        return self._unknown_total

    @property
    def malformed_total(self):
        """Number of dropped reports and digests that could not be decoded."""
        return self._malformed_total

    @property
    def sent(self):
        """``DatagramCounts`` of what this node has sent to other nodes."""
        return self._sent

    @property
    def received(self):
        """``DatagramCounts`` of what this node has received from other nodes."""
        return self._received

    @property
    def member_count(self):
        """Number of nodes whose reports this one gathers."""
        return self._exchange.member_count

    def start(self):
        """Bind the socket and start the threads that send and receive reports."""
        host, _, port = self._identity.address.rpartition(":")
        self._socket.bind((host, int(port)))
        restarting_thread.start(self._receive_all, "receive reports")
        restarting_thread.start(self._report, "send reports")

    def stop(self):
        """Signal both threads to stop."""
        self._stop.set()

    def send_datagram(self, data, address):
        """Send a datagram to ``host:port`` from the socket that also receives."""
        self._sent.add(data)
        host, _, port = address.rpartition(":")
        try:
            self._socket.sendto(data, (host, int(port)))
        except (OSError, ValueError, OverflowError) as e:
            # Another node may state an address that names no port.
            _logger.info("failed to send a datagram to %.80s: %s", address, e)

    def receive(self, data, sender, now):
        """Process a datagram that a peer has sent."""
        self._received.add(data)
        kind = protocol.get_kind(data)
        if kind == feed_codec.KIND:
            self._on_feed(data, now, f"{sender[0]}:{sender[1]}")
            return
        if kind not in (b"", digest_codec.KIND):
            self._skip_unknown(kind, sender)
            return
        try:
            self._exchange.receive(data, now)
        except membership_errors.MalformedMessage as e:
            self._malformed_total += 1
            _logger.warning("dropped a malformed report from %s: %s", sender, e)

    def _report(self):
        while not self._stop.wait(report_schedule.REPORT_INTERVAL_S):
            for outgoing in self._exchange.make_datagrams(self._build_state(), time.monotonic()):
                for address in outgoing.addresses:
                    self.send_datagram(outgoing.data, address)
            self._log_gatherers()

    def _log_gatherers(self):
        gatherers = self._exchange.gatherers
        if gatherers == self._gatherers:
            return
        eliot.log_message(
            message_type=GATHERERS_CHANGED, gatherers=gatherers, previous=self._gatherers
        )
        self._gatherers = gatherers

    def _receive_all(self):
        while not self._stop.is_set():
            try:
                data, sender = self._socket.recvfrom(report_codec.MAX_DATAGRAM_BYTES)
            except OSError as e:
                _logger.warning("failed to receive a report: %s", e)
                time.sleep(report_schedule.REPORT_INTERVAL_S)
                continue
            self.receive(data, sender, time.monotonic())

    def _skip_unknown(self, kind, sender):
        """Count a datagram of a later version; it is logged once for each sender and kind."""
        self._unknown_total += 1
        key = (sender, kind)
        if key in self._unknown_kinds or len(self._unknown_kinds) >= MAX_LOGGED_UNKNOWN:
            return
        self._unknown_kinds.add(key)
        _logger.warning("skipped a datagram of unknown kind %r from %s", kind, sender)
