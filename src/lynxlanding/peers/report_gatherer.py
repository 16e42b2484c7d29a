"""Sums up the reports of a gatherer's members."""

import collections
import dataclasses

from lynxlanding.crashes import statements
from lynxlanding.peers import node_key, peer_report, peer_table, report_digest

# Bounds of a digest. What does not fit waits for the next one; urgent facts have reached all nodes
# in reports of their own before.
MAX_FORWARDED_BYTES = 4096
MAX_STATEMENTS = 64
MAX_WAITING_REPORTS = 128
# Holders of the newest configuration that are named; each of them names others when it is asked.
MAX_HOLDERS = 8
# Age that the encoding can hold.
_MAX_AGE_MS = 0xFFFF

_NO_PROMPTS = statements.PromptStatements()


@dataclasses.dataclass(slots=True)
class _Member:
    key: int
    report: peer_report.PeerReport
    heard_at: float
    is_summed_up: bool


class ReportGatherer:
    """Collects reports and builds digests of them; performs no I/O.

    Parameters
    ----------
    identity : PeerIdentity
        This node.
    """

    def __init__(self, identity):
        self._identity = identity
        self._members = {}
        self._limits = {}
        self._leavings = {}
        self._cold = {}
        self._waiting = collections.deque(maxlen=MAX_WAITING_REPORTS)

    @property
    def member_count(self):
        """Number of nodes that ask this one to gather their reports."""
        return len(self._members)

    def has_members(self, now):
        """Return whether nodes ask this one to gather their reports; forget those that left."""
        for node_id, member in list(self._members.items()):
            if now - member.heard_at > peer_table.LIVENESS_TIMEOUT_S:
                del self._members[node_id]
        return bool(self._members)

    def record(self, report, data, now):
        """Record a report whose sender asks this node to gather it.

        Parameters
        ----------
        report : PeerReport
            The report, decoded.
        data : bytes
            The same report as its sender has encoded it.
        now : float
            Arrival, in monotonic seconds.
        """
        is_summed_up = report.gatherers[0] == node_key.hash_node_id(self._identity.node_id)
        key = node_key.hash_node_id(report.node_id)
        self._members[report.node_id] = _Member(key, report, now, is_summed_up)
        if not is_summed_up:
            return
        for limit in report.limits:
            key = (limit.endpoint_hash, limit.started_ms)
            known = self._limits.get(key)
            if known is None or now - limit.age_ms / 1000 >= known[1] - known[0].age_ms / 1000:
                self._limits[key] = (limit, now)
        for leaving in report.leavings:
            self._leavings[leaving.endpoint_hash, leaving.started_ms] = (leaving, now)
        for cold in report.cold:
            key = (cold.endpoint_hash, cold.started_ms)
            known = self._cold.get(key)
            if known is None or _cold_until(cold, now) >= _cold_until(*known):
                self._cold[key] = (cold, now)
        if report.prompts != _NO_PROMPTS:
            self._waiting.append((data, now))

    def leave_out(self, members):
        """Leave the work of nodes that have changed their gatherer out of the next digest.

        Such a node reports to this one no longer, and its work would count twice until it expires
        here.

        Parameters
        ----------
        members : tuple of MemberState
            Members in the digest of another gatherer.
        """
        states = {state.key: state for state in members}
        for member in list(self._members.values()):
            state = states.get(member.key)
            if state is None or state.sequence <= member.report.sequence:
                continue
            if state.incarnation_tag == node_key.tag_incarnation(member.report.incarnation):
                member.is_summed_up = False

    def build(self, sequence, now):
        """Return the ``ReportDigest`` of what was recorded since the last one."""
        members = []
        heard = {}
        loads = {}
        busy_groups = {}
        stalled = set()
        loading = set()
        has_traffic = False
        configuration_version = 0
        holders = []
        for member in list(self._members.values()):
            key = member.key
            report = member.report
            if not member.is_summed_up:
                heard[key] = _age_ms(member.heard_at, now)
                continue
            members.append(_make_member_state(member, now))
            if report.configuration_version > configuration_version:
                configuration_version = report.configuration_version
                holders = []
            if report.configuration_version == configuration_version:
                holders.append(key)
            has_traffic = has_traffic or report.has_traffic
            stalled.update(report.stalled)
            loading.update(report.loading)
            for endpoint_hash, requests in report.loads.items():
                loads[endpoint_hash] = loads.get(endpoint_hash, 0) + requests
            for model, groups in report.busy_groups.items():
                busy_groups[model] = busy_groups.get(model, 0.0) + groups
        return report_digest.ReportDigest(
            self._identity.node_id,
            self._identity.incarnation,
            sequence,
            tuple(members),
            heard,
            loads,
            busy_groups,
            has_traffic,
            frozenset(stalled),
            frozenset(loading),
            tuple(_take_statements(self._limits, now)),
            tuple(_take_statements(self._leavings, now)),
            tuple(self._take_forwarded(now)),
            tuple(_take_statements(self._cold, now)),
            self._latest_evacuations(now),
            configuration_version,
            tuple(holders[:MAX_HOLDERS]),
        )

    def _latest_evacuations(self, now):
        """Return the ``ReportedEvacuations`` of the newest version with their age as of ``now``."""
        latest = None
        latest_at = 0.0
        for member in list(self._members.values()):
            reading = member.report.evacuations
            if reading is None:
                continue
            if latest is None or _version(reading) > _version(latest):
                latest = reading
                latest_at = member.heard_at
        if latest is None:
            return None
        return dataclasses.replace(latest, age_ms=latest.age_ms + _age_ms(latest_at, now))

    def _take_forwarded(self, now):
        forwarded = []
        total_bytes = 0
        while self._waiting:
            data, arrived_at = self._waiting[0]
            total_bytes += len(data)
            if forwarded and total_bytes > MAX_FORWARDED_BYTES:
                break
            self._waiting.popleft()
            forwarded.append(report_digest.ForwardedReport(data, _age_ms(arrived_at, now)))
        return forwarded


def _take_statements(waiting, now):
    """Remove the oldest statements and return them with their age as of ``now``."""
    taken = []
    for key in list(waiting)[:MAX_STATEMENTS]:
        statement, arrived_at = waiting.pop(key)
        age_ms = statement.age_ms + _age_ms(arrived_at, now)
        taken.append(dataclasses.replace(statement, age_ms=age_ms))
    return taken


def _cold_until(cold, arrived_at):
    """Return until when an endpoint is cold by a report that arrived then."""
    return arrived_at + (cold.cold_ms - cold.age_ms) / 1000


def _make_member_state(member, now):
    report = member.report
    return report_digest.MemberState(
        member.key,
        report.sequence,
        node_key.tag_incarnation(report.incarnation),
        _age_ms(member.heard_at, now),
        sum(report.loads.values()),
        peer_report.port_at_same_host(report.callers_address, report.address),
        report.is_store_unavailable,
        report.takes_requests,
        report.is_cut,
    )


def _version(evacuations):
    return evacuations.era, evacuations.revision


def _age_ms(at, now):
    return min(peer_report.age_ms(at, now), _MAX_AGE_MS)
