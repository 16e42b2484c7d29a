"""Reports and digests between nodes: what a node sends, and what it takes from what it receives."""

import collections
import dataclasses
import math

from lynxlanding.errors import membership as membership_errors
from lynxlanding.fleet import endpoint_key
from lynxlanding.peers import (
    digest_codec,
    node_key,
    own_contribution,
    peer_report,
    protocol,
    report_codec,
    report_gatherer,
    report_schedule,
)

# A gatherer sends its digests at this interval.
DIGEST_INTERVAL_S = 0.4
# Digests that follow the one with the last members, as the work of those that have changed their
# gatherer would count twice at a node that the first of them does not reach.
EMPTY_DIGESTS = 2
# Reports whose work is remembered, so that it can be taken out of the sums of a digest. They cover
# more than the time in which a report is summed up.
MAX_OWN_REPORTS = 32
# A report with so many evacuated data centres is still no larger than a large digest.
MAX_EVACUATED = 64


@dataclasses.dataclass(slots=True, frozen=True)
class OutgoingDatagram:
    """Datagram and its recipients.

    Parameters
    ----------
    data : bytes
        The datagram.
    addresses : tuple of str
        ``host:port`` of each recipient.
    """

    data: bytes
    addresses: tuple[str, ...]


class ReportExchange:
    """Encodes, gathers and applies reports; performs no I/O.

    Parameters
    ----------
    identity : PeerIdentity
        This node.
    table : PeerTable
        The other nodes.
    on_report : callable
        Called with each new ``PeerReport`` and its time of arrival, in monotonic seconds.
    on_digest : callable
        Called with each new ``ReportDigest``, the ``OwnContribution`` in it, and its arrival.
    random_state : random.Random
        Shuffles the recipients of reports.
    """

    def __init__(self, identity, table, on_report, on_digest, random_state):
        self._identity = identity
        self._table = table
        self._on_report = on_report
        self._on_digest = on_digest
        self._schedule = report_schedule.ReportSchedule(identity.node_id, table, random_state)
        self._gatherer = report_gatherer.ReportGatherer(identity)
        self._own_key = node_key.hash_node_id(identity.node_id)
        self._own_tag = node_key.tag_incarnation(identity.incarnation)
        self._own_reports = collections.OrderedDict()
        self._last_digest_at = 0.0
        self._empty_digests_left = 0
        self._codec = report_codec.ReportCodec()
        self._digest_codec = digest_codec.DigestCodec()
        self._sequence = 0

    @property
    def gatherers(self):
        """Node ids of the gatherers of this node; empty if it reports to all others."""
        return self._schedule.gatherers

    @property
    def member_count(self):
        """Number of nodes whose reports this one gathers, as of the last digest."""
        return self._gatherer.member_count

    def make_datagrams(self, state, now):
        """Return the ``OutgoingDatagram`` list that is due for a ``LocalState``."""
        outgoing = []
        plan = self._schedule.plan(state, now)
        if plan is not None:
            outgoing.append(self._make_report(state, plan, now))
        is_due = report_schedule.is_over(DIGEST_INTERVAL_S, self._last_digest_at, now)
        if is_due and self._is_gatherer(now):
            self._last_digest_at = now
            outgoing.append(self._make_digest(now))
        return outgoing

    def _is_gatherer(self, now):
        """Return whether this node sends digests; called when the next one is due."""
        if self._gatherer.has_members(now):
            self._empty_digests_left = EMPTY_DIGESTS
            return True
        if not self._empty_digests_left:
            return False
        self._empty_digests_left -= 1
        return True

    def receive(self, data, now):
        """Apply a report or a digest of another node.

        Raises
        ------
        errors.membership.MalformedMessage
            If the data is neither.
        """
        if protocol.get_kind(data) == digest_codec.KIND:
            self._apply_digest(self._digest_codec.decode(data), now)
            return
        report = self._codec.decode(data)
        if not self._table.record_report(report, now):
            return
        if self._own_key in report.gatherers:
            self._gatherer.record(report, data, now)
        self._on_report(report, now)

    def _make_report(self, state, plan, now):
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
        report = peer_report.PeerReport(
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
            tuple(node_key.hash_node_id(node_id) for node_id in plan.gatherers),
            make_reported_cold(state.cold, now),
            make_reported_evacuations(state.evacuations, now),
        )
        data = self._codec.encode(report)
        if plan.gatherers:
            self._own_reports[self._sequence] = own_contribution.OwnContribution(
                dict(state.loads), state.busy_groups, state.stalled, state.loading
            )
            if len(self._own_reports) > MAX_OWN_REPORTS:
                self._own_reports.popitem(last=False)
        if self._identity.node_id in plan.gatherers:
            self._gatherer.record(report, data, now)
        return OutgoingDatagram(data, plan.addresses)

    def _make_digest(self, now):
        self._sequence += 1
        digest = self._gatherer.build(self._sequence, now)
        data = self._digest_codec.encode(digest)
        self._apply_digest(digest, now)
        addresses = self._table.target_addresses(now, min_version=protocol.GATHERING)
        return OutgoingDatagram(data, tuple(addresses))

    def _apply_digest(self, digest, now):
        if not self._table.record_digest(digest, now):
            return
        if digest.node_id != self._identity.node_id:
            self._gatherer.leave_out(digest.members)
        self._on_digest(digest, self._find_contribution(digest), now)
        malformed = None
        for forwarded in digest.forwarded:
            try:
                self._apply_forwarded(forwarded.data, now - forwarded.age_ms / 1000)
            except membership_errors.MalformedMessage as e:
                # The others are applied all the same.
                malformed = e
        if malformed is not None:
            raise malformed

    def _find_contribution(self, digest):
        for member in digest.members:
            if member.key == self._own_key and member.incarnation_tag == self._own_tag:
                found = self._own_reports.get(member.sequence)
                if found is not None:
                    return found
        return own_contribution.OwnContribution()

    def _apply_forwarded(self, data, arrived_at):
        report = self._codec.decode(data)
        if self._table.record_report(report, arrived_at):
            self._on_report(report, arrived_at)


def make_reported_evacuations(reading, now):
    """Return the ``ReportedEvacuations`` of a report from an ``EvacuationReading`` or None.

    A reading that is too long for a report is left out, since a part of it would end evacuations.
    """
    if reading is None or len(reading.data_centres) > MAX_EVACUATED:
        return None
    return peer_report.ReportedEvacuations(
        tuple(sorted(reading.data_centres)),
        reading.version.era,
        reading.version.revision,
        peer_report.age_ms(reading.read_at, now),
    )


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


def make_reported_cold(statements, now):
    """Return the ``ReportedCold`` tuple of a report from a list of ``ColdStatement``.

    Statements whose start time cannot be encoded are left out. Times are rounded so that the
    receiver's belief does not end before this node's.
    """
    cold = []
    for statement in statements:
        if not peer_report.is_encodable_start(statement.started_ms):
            continue
        cold.append(
            peer_report.ReportedCold(
                endpoint_key.hash_endpoint_id(statement.endpoint_id),
                statement.started_ms,
                max(0, math.ceil((statement.until - statement.stated_at) * 1000)),
                peer_report.age_ms(statement.stated_at, now),
            )
        )
    return tuple(cold)


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
