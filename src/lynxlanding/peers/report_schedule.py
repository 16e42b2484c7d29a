"""When and to whom a node sends its reports."""

import dataclasses
import math

from lynxlanding.peers import gathering, protocol

# Changed loads are reported at this interval, to all other nodes of a small fleet.
REPORT_INTERVAL_S = 0.1
# Longer intervals are multiples of it, and end with the step that comes closest.
HALF_STEP_S = REPORT_INTERVAL_S / 2
# The same to the gatherer, whose digests are less frequent.
GATHERED_REPORT_INTERVAL_S = 0.2
# An unchanged state is reported this often, so that peers count the node as live.
HEARTBEAT_INTERVAL_S = 0.4
# With more peers, each report is sent to this many of them in turn.
MAX_TARGETS = gathering.MAX_DIRECT_PEERS
# Urgent changes are in this many reports to all peers, since datagrams may be lost. So is the first
# word to a new peer.
URGENT_REPORTS = 2
# Roles follow changes of the fleet within this time.
ROLE_INTERVAL_S = 0.2
# Every peer must hear from this node within its liveness timeout, also if a datagram is lost.
MAX_ROUND_S = 0.5


@dataclasses.dataclass(slots=True, frozen=True)
class ReportPlan:
    """Recipients of one report.

    Parameters
    ----------
    addresses : tuple of str
        ``host:port`` of each recipient, without this node's own.
    gatherers : tuple of str
        Node ids of the gatherers that the report names, the one that sums it up first. It may be
        this node itself. Empty if the report is not gathered.
    """

    addresses: tuple[str, ...]
    gatherers: tuple[str, ...] = ()


class ReportSchedule:
    """Decides about the reports of one node; performs no I/O.

    Parameters
    ----------
    node_id : str
        Id of this node.
    table : PeerTable
        The other nodes.
    random_state : random.Random
        Shuffles the recipients if there are more than ``MAX_TARGETS``.
    """

    def __init__(self, node_id, table, random_state):
        self._node_id = node_id
        self._table = table
        self._random_state = random_state
        self._last_state = None
        self._urgent_reports = 0
        self._last_direct_at = 0.0
        self._last_gathered_at = 0.0
        self._last_heartbeat_at = 0.0
        self._has_unsent_change = False
        self._remaining_targets = []
        self._introductions = {}
        self._roles_at = 0.0
        self._gathering_nodes = []
        self._gatherers = ()
        self._older_addresses = []
        self._new_addresses = set()

    @property
    def gatherers(self):
        """Node ids of the gatherers of this node as of the last plan."""
        return self._gatherers

    def plan(self, state, now):
        """Return the ``ReportPlan`` for a ``LocalState``, or None if no report is due."""
        previous = self._last_state
        is_changed = _is_changed(state, previous)
        if previous is not None and state.urgent_changes != previous.urgent_changes:
            self._urgent_reports = URGENT_REPORTS
        self._last_state = state
        self._has_unsent_change = self._has_unsent_change or is_changed
        if is_over(ROLE_INTERVAL_S, self._roles_at, now):
            self._roles_at = now
            self._update_roles(now)
        if self._urgent_reports > 0:
            return self._plan_urgent(now)
        if self._gatherers:
            return self._plan_gathered(is_changed, now)
        targets = self._table.target_addresses(now)
        return self._plan_direct(targets, is_changed, now)

    def _update_roles(self, now):
        nodes = self._table.live_node_ids(now, min_version=protocol.GATHERING)
        if nodes != self._gathering_nodes:
            self._gathering_nodes = nodes
            self._gatherers = ()
            if not self._table.has_ambiguous_key():
                self._gatherers = gathering.choose_gatherers(self._node_id, nodes)
        if not self._gatherers:
            return
        older = self._table.target_addresses(now, max_version=protocol.GATHERING - 1)
        self._older_addresses = older
        self._new_addresses = self._introduce()

    def _plan_urgent(self, now):
        self._urgent_reports -= 1
        self._last_direct_at = now
        self._note_gathered(now, is_heartbeat=True)
        return ReportPlan(tuple(self._table.target_addresses(now)), self._gatherers)

    def _plan_direct(self, targets, is_changed, now):
        rounds = math.ceil(len(targets) / MAX_TARGETS)
        heartbeat_s = min(HEARTBEAT_INTERVAL_S, MAX_ROUND_S / max(1, rounds))
        if not is_changed and now - self._last_direct_at < heartbeat_s:
            return None
        self._last_direct_at = now
        return ReportPlan(tuple(self._next_targets(targets)), self._gatherers)

    def _plan_gathered(self, is_changed, now):
        addresses = self._new_addresses
        self._new_addresses = set()
        if self._older_addresses:
            direct = self._plan_direct(self._older_addresses, is_changed, now)
            if direct is not None:
                addresses.update(direct.addresses)
        gatherers = self._due_gatherers(now)
        for node_id in gatherers:
            peer = self._table.peers.get(node_id)
            if peer is not None:
                addresses.add(peer.address)
        if not addresses and not gatherers:
            return None
        return ReportPlan(tuple(addresses), self._gatherers)

    def _due_gatherers(self, now):
        if is_over(HEARTBEAT_INTERVAL_S, self._last_heartbeat_at, now):
            self._note_gathered(now, is_heartbeat=True)
            return self._gatherers
        is_due = is_over(GATHERED_REPORT_INTERVAL_S, self._last_gathered_at, now)
        if self._has_unsent_change and is_due:
            self._note_gathered(now, is_heartbeat=False)
            return self._gatherers[:1]
        return ()

    def _note_gathered(self, now, *, is_heartbeat):
        self._has_unsent_change = False
        self._last_gathered_at = now
        if is_heartbeat:
            self._last_heartbeat_at = now

    def _introduce(self):
        """Return the addresses of the peers that have not yet got the first reports."""
        addresses = set()
        for node_id, peer in self._table.peers.items():
            sent = self._introductions.get(node_id, 0)
            if sent < URGENT_REPORTS:
                self._introductions[node_id] = sent + 1
                addresses.add(peer.address)
        if len(self._introductions) > len(self._table.peers):
            # Peers that have expired and come back are introduced again.
            for node_id in list(self._introductions):
                if node_id not in self._table.peers:
                    del self._introductions[node_id]
        return addresses

    def _next_targets(self, targets):
        """Return the peers that get the next report: all, or those whose turn it is."""
        if len(targets) <= MAX_TARGETS:
            return targets
        known = set(targets)
        self._remaining_targets = [target for target in self._remaining_targets if target in known]
        if not self._remaining_targets:
            self._remaining_targets = self._random_state.sample(targets, len(targets))
        next_targets = self._remaining_targets[:MAX_TARGETS]
        del self._remaining_targets[:MAX_TARGETS]
        return next_targets


def is_over(interval_s, since, now):
    """Return whether an interval is over, to the nearest step."""
    return now - since >= interval_s - HALF_STEP_S


def _is_changed(state, previous):
    """Return whether something has changed that causes a report of its own.

    ``busy_groups`` does not, because it changes continuously.
    """
    return previous is None or _reported_at_once(state) != _reported_at_once(previous)


def _reported_at_once(state):
    return (
        state.loads,
        state.configuration_version,
        state.stalled,
        state.loading,
        state.is_store_unavailable,
        state.limit_changes,
        state.prompt_changes,
        state.urgent_changes,
        state.takes_requests,
        state.is_cut,
        state.leaving_changes,
        state.cold_changes,
        state.evacuation_changes,
    )
