"""Sends this node's reports over UDP and receives those of others."""

import logging
import random
import socket
import threading
import time

from lynxlanding.errors import membership as membership_errors
from lynxlanding.observability import guarded_thread
from lynxlanding.peers import peer_report, report_codec

# Changed counts are sent this often; unchanged ones often enough to be seen as alive.
REPORT_INTERVAL_S = 0.1
HEARTBEAT_INTERVAL_S = 0.4
# With more peers, each report goes to a random choice of them.
MAX_TARGETS = 24

_logger = logging.getLogger(__name__)


class PeerExchange:
    """Owner of the UDP socket.

    Parameters
    ----------
    identity : NodeIdentity
        This node: ``node_id``, ``incarnation`` and ``address``.
    table : PeerTable
        Other nodes.
    build_state : callable
        Returns the ``NodeState`` to report.
    on_report : callable
        Called with a ``PeerReport`` that is news and the time.
    random_state : random.Random
        Chooses the targets among many peers.
    """

    def __init__(self, identity, table, build_state, on_report, random_state=None):
        self._identity = identity
        self._table = table
        self._build_state = build_state
        self._on_report = on_report
        self._random_state = random_state or random.Random()
        self._codec = report_codec.ReportCodec()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sequence = 0
        self._stop = threading.Event()

    def start(self):
        """Bind the socket and run from threads of its own."""
        host, _, port = self._identity.address.rpartition(":")
        self._socket.bind((host, int(port)))
        guarded_thread.start(self._receive, "receive reports")
        guarded_thread.start(self._report, "send reports")

    def stop(self):
        """Stop reporting."""
        self._stop.set()

    def _report(self):
        last_sent = None
        last_at = 0.0
        while not self._stop.wait(REPORT_INTERVAL_S):
            now = time.monotonic()
            state = self._build_state()
            if _is_like(state, last_sent) and now - last_at < HEARTBEAT_INTERVAL_S:
                continue
            last_sent = state
            last_at = now
            self._send(state, now)

    def _send(self, state, now):
        keyed = {}
        for endpoint_id, requests in state.loads.items():
            keyed[report_codec.endpoint_key(endpoint_id)] = requests
        stalled = frozenset(report_codec.endpoint_key(item) for item in state.stalled)
        loading = frozenset(report_codec.endpoint_key(item) for item in state.loading)
        self._sequence += 1
        data = self._codec.encode(
            peer_report.PeerReport(
                self._identity.node_id,
                self._identity.incarnation,
                self._sequence,
                self._identity.address,
                state.configuration_version,
                keyed,
                state.has_traffic,
                stalled,
                state.busy_groups,
                loading,
            )
        )
        targets = self._table.targets(now)
        if len(targets) > MAX_TARGETS:
            targets = self._random_state.sample(targets, MAX_TARGETS)
        for address in targets:
            host, _, port = address.rpartition(":")
            try:
                self._socket.sendto(data, (host, int(port)))
            except OSError as e:
                _logger.info("report to %s was not sent: %s", address, e)

    def _receive(self):
        while not self._stop.is_set():
            try:
                data, _ = self._socket.recvfrom(report_codec.MAX_DATAGRAM_BYTES)
            except OSError as e:
                _logger.warning("receiving reports failed: %s", e)
                time.sleep(REPORT_INTERVAL_S)
                continue
            try:
                report = self._codec.decode(data)
            except membership_errors.MalformedMessage as e:
                _logger.warning("unreadable report: %s", e)
                continue
            now = time.monotonic()
            if self._table.note_report(report, now):
                self._on_report(report, now)


def _is_like(state, other):
    """Return whether two states need not be told apart; work changes with every moment."""
    if other is None:
        return False
    known = (other.loads, other.stalled, other.loading)
    return (state.loads, state.stalled, state.loading) == known
