"""Exchange of load reports with other nodes over UDP."""

import logging
import math
import random
import socket
import threading
import time

from lynxlanding.errors import membership as membership_errors
from lynxlanding.fleet import endpoint_key
from lynxlanding.observability import restarting_thread
from lynxlanding.peers import feed_codec, peer_report, protocol, report_codec

# Changed loads are reported at this interval.
REPORT_INTERVAL_S = 0.1
# An unchanged state is reported this often, so that peers count the node as live.
HEARTBEAT_INTERVAL_S = 0.4
# With more peers, each report is sent to this many of them in turn.
MAX_TARGETS = 24
# Urgent changes are in this many reports to all peers, since datagrams may be lost.
URGENT_REPORTS = 2
# Every peer must hear from this node within its liveness timeout, also if a datagram is lost.
MAX_ROUND_S = 0.5
# Bounds the memory for senders whose datagrams of unknown kinds have been logged.
MAX_LOGGED_UNKNOWN = 1000

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
    on_feed : callable
        Called with each datagram of the change feed and its time of arrival.
    random_state : random.Random
        Shuffles the targets if there are more than ``MAX_TARGETS`` peers.
    """

    def __init__(self, identity, table, build_state, on_report, on_feed, random_state=None):
        self._identity = identity
        self._table = table
        self._build_state = build_state
        self._on_report = on_report
        self._on_feed = on_feed
        self._remaining_targets = []
        self._random_state = random_state or random.Random()
        self._codec = report_codec.ReportCodec()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sequence = 0
        self._unknown_kinds = set()
        self._unknown_total = 0
        self._stop = threading.Event()

    @property
    def unknown_total(self):
        """Number of skipped datagrams of kinds that this version does not know."""
        return self._unknown_total

    def start(self):
        """Bind the socket and start the threads that send and receive reports."""
        host, _, port = self._identity.address.rpartition(":")
        self._socket.bind((host, int(port)))
        restarting_thread.start(self._receive_all, "receive reports")
        restarting_thread.start(self._report, "send reports")

    def stop(self):
        """Signal both threads to stop."""
        self._stop.set()

    def _report(self):
        last_state = None
        last_sent_at = 0.0
        urgent_reports = 0
        while not self._stop.wait(REPORT_INTERVAL_S):
            now = time.monotonic()
            state = self._build_state()
            rounds = math.ceil(len(self._table.peers) / MAX_TARGETS)
            heartbeat_s = min(HEARTBEAT_INTERVAL_S, MAX_ROUND_S / max(1, rounds))
            is_due = urgent_reports > 0 or now - last_sent_at >= heartbeat_s
            if _is_unchanged(state, last_state) and not is_due:
                continue
            if last_state is not None and state.urgent_changes != last_state.urgent_changes:
                urgent_reports = URGENT_REPORTS
            is_urgent = urgent_reports > 0
            urgent_reports -= is_urgent
            last_state = state
            last_sent_at = now
            self._send(state, now, to_all=is_urgent)

    def _send(self, state, now, *, to_all):
        loads_by_hash = {}
        for endpoint_id, requests in state.loads.items():
            loads_by_hash[endpoint_key.hash_endpoint_id(endpoint_id)] = requests
        stalled = frozenset(
            endpoint_key.hash_endpoint_id(endpoint_id) for endpoint_id in state.stalled
        )
        loading = frozenset(
            endpoint_key.hash_endpoint_id(endpoint_id) for endpoint_id in state.loading
        )
        self._sequence += 1
        data = self._codec.encode(
            peer_report.PeerReport(
                self._identity.node_id,
                self._identity.incarnation,
                self._sequence,
                self._identity.address,
                state.configuration_version,
                loads_by_hash,
                state.has_traffic,
                stalled,
                state.busy_groups,
                loading,
                state.is_store_unavailable,
                make_reported_limits(state.limits, now),
                state.prompts.shift(-now),
                self._identity.callers_address,
                state.takes_requests,
                state.is_cut,
                make_reported_leavings(state.leavings, now),
                protocol.CURRENT,
            )
        )
        targets = self._table.target_addresses(now) if to_all else self._next_targets(now)
        for address in targets:
            self.send_datagram(data, address)

    def send_datagram(self, data, address):
        """Send a datagram to ``host:port`` from the socket that also receives."""
        host, _, port = address.rpartition(":")
        try:
            self._socket.sendto(data, (host, int(port)))
        except OSError as e:
            _logger.info("failed to send a datagram to %s: %s", address, e)

    def _next_targets(self, now):
        """Return the peers that get the next report: all, or those whose turn it is."""
        targets = self._table.target_addresses(now)
        if len(targets) <= MAX_TARGETS:
            return targets
        if not self._remaining_targets:
            self._remaining_targets = self._random_state.sample(targets, len(targets))
        next_targets = self._remaining_targets[:MAX_TARGETS]
        del self._remaining_targets[:MAX_TARGETS]
        return next_targets

    def _receive_all(self):
        while not self._stop.is_set():
            try:
                data, sender = self._socket.recvfrom(report_codec.MAX_DATAGRAM_BYTES)
            except OSError as e:
                _logger.warning("failed to receive a report: %s", e)
                time.sleep(REPORT_INTERVAL_S)
                continue
            self.receive(data, sender, time.monotonic())

    def receive(self, data, sender, now):
        """Process a datagram that a peer has sent."""
        kind = protocol.get_kind(data)
        if kind == feed_codec.KIND:
            self._on_feed(data, now)
            return
        if kind:
            self._skip_unknown(kind, sender)
            return
        try:
            report = self._codec.decode(data)
        except membership_errors.MalformedMessage as e:
            _logger.warning("dropped a malformed report: %s", e)
            return
        if self._table.record_report(report, now):
            self._on_report(report, now)

    def _skip_unknown(self, kind, sender):
        """Count a datagram of a later version; it is logged once for each sender and kind."""
        self._unknown_total += 1
        key = (sender, kind)
        if key in self._unknown_kinds or len(self._unknown_kinds) >= MAX_LOGGED_UNKNOWN:
            return
        self._unknown_kinds.add(key)
        _logger.warning("skipped a datagram of unknown kind %r from %s", kind, sender)


def make_reported_leavings(statements, now):
    """Return the ``ReportedLeaving`` tuple of a report from a list of ``LeavingStatement``.

    Statements whose start time cannot be encoded are left out.
    """
    leavings = []
    for statement in statements:
        if not peer_report.is_encodable_start(statement.started_ms):
            continue
        leavings.append(
            peer_report.ReportedLeaving(
                endpoint_key.hash_endpoint_id(statement.endpoint_id),
                statement.started_ms,
                peer_report.age_ms(statement.stated_at, now),
            )
        )
    return tuple(leavings)


def make_reported_limits(statements, now):
    """Return the ``ReportedLimit`` tuple of a report from a list of ``EndpointStatement``.

    Statements whose start time cannot be encoded are left out.
    """
    limits = []
    for item in statements:
        statement = item.statement
        if not peer_report.is_encodable_start(statement.started_ms):
            continue
        limits.append(
            peer_report.ReportedLimit(
                endpoint_key.hash_endpoint_id(item.endpoint_id),
                statement.started_ms,
                statement.limit_per_s,
                peer_report.age_ms(statement.stated_at, now),
            )
        )
    return tuple(limits)


def _is_unchanged(state, previous):
    """Return whether nothing has changed that causes a report of its own.

    ``busy_groups`` does not, because it changes continuously.
    """
    return previous is not None and _reported_at_once(state) == _reported_at_once(previous)


def _reported_at_once(state):
    return (
        state.loads,
        state.stalled,
        state.loading,
        state.is_store_unavailable,
        state.limit_changes,
        state.prompt_changes,
        state.urgent_changes,
        state.takes_requests,
        state.is_cut,
        state.leaving_changes,
    )
