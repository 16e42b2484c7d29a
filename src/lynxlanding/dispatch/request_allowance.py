"""Part of one node in the rate of requests that limited endpoints take."""

import dataclasses
import math

from lynxlanding.membership import rendezvous

# Number of nodes that share the limit of an endpoint, beyond one for each request a second. Each
# node may send its first request at once, so more nodes would exceed a low limit together.
MIN_SHARING_NODES = 3
# An endpoint with a lower limit gets this many requests a second from all nodes together, because
# only a response tells that the limit has ended.
MIN_RATE_PER_S = 0.25
# Requests that a node has not used may follow at once, up to those of this time (at least one).
BURST_S = 0.5
# A node uses a larger part of a limit only after this time. By then the nodes that shared it
# before have noticed the change as well: a node counts as live for 1.3 s after its last report.
INCREASE_DELAY_S = 2.0


@dataclasses.dataclass(slots=True)
class _Share:
    limit_per_s: float
    # Bound on the nodes that share it, if the endpoint is cold.
    max_nodes: int | None
    generation: int
    rate_per_s: float
    updated_at: float
    tokens: float = 0.0
    next_rate_per_s: float | None = None
    next_rate_at: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class AllowanceChange:
    """Change of this node's part of a limit.

    Parameters
    ----------
    endpoint_id : str
        Endpoint with the limit.
    limit_per_s : float
        Requests a second that the endpoint takes from all nodes together.
    rate_per_s : float
        Requests a second that this node may send; 0 if the limit is left to other nodes.
    live_nodes : int
        Number of nodes that the limit is divided among, as this node knows them: the live ones, or
        all known ones if the endpoint is cold.
    starts_in_s : float
        Time until this part is in force, in seconds.
    """

    endpoint_id: str
    limit_per_s: float
    rate_per_s: float
    live_nodes: int
    starts_in_s: float


class RequestAllowance:
    """Divides the limits of endpoints among the live nodes; performs no I/O.

    Nodes do not see each other's requests in time. So a few nodes, chosen by rendezvous hashing,
    get an equal and constant part of the rate of each endpoint, and the sum keeps to the limit
    without any message about single requests.

    What a cold engine gets is bounded in each second, also while nodes do not hear each other. So
    its limit is divided among all nodes that are known to exist, and among few of them. A node that
    is among the first few of all known ones is so among any of them that send, so no more nodes
    than these send, however much their views differ beyond that.

    Parameters
    ----------
    node_id : str
        Id of this node.
    limit_table : LimitTable
        Limits in force.
    now : float
        Monotonic seconds. The other nodes become known within seconds of the start.
    """

    def __init__(self, node_id, limit_table, now):
        self._node_id = node_id
        self._limit_table = limit_table
        self._settled_at = now + INCREASE_DELAY_S
        self._live_nodes = (node_id,)
        self._known_nodes = (node_id,)
        # Times at which known nodes went missing, by id.
        self._missing_since = {}
        self._live_generation = 0
        self._known_generation = 0
        self._shares = {}
        # Key and result of the last choice of nodes, of which a new share asks twice.
        self._last_choice = (None, ())
        self._changes = []

    def use_live_nodes(self, node_ids, now, known_ids=()):
        """Set the nodes that share the limits; return the list of ``AllowanceChange``.

        Parameters
        ----------
        node_ids : iterable of str
            Live nodes, which share the limits that endpoints state.
        now : float
            Monotonic seconds.
        known_ids : iterable of str
            Further nodes that may be live although this node does not hear them. They share the
            limits of cold engines as well.
        """
        live_nodes = tuple(sorted(node_ids))
        if live_nodes != self._live_nodes:
            self._live_nodes = live_nodes
            self._live_generation += 1
        known_nodes = self._keep_missing({*live_nodes, *known_ids}, now)
        if known_nodes != self._known_nodes:
            self._known_nodes = known_nodes
            self._known_generation += 1
        for endpoint_id in list(self._shares):
            self._share(endpoint_id, now)
        changes = self._changes
        self._changes = []
        return changes

    def _keep_missing(self, known_ids, now):
        """Return the known nodes and those that were known until a short time ago.

        A node that was frozen has missed all reports and knows nobody until the next ones arrive.
        """
        known_nodes = set(known_ids)
        for node_id in self._known_nodes:
            if node_id in known_ids:
                continue
            missing_since = self._missing_since.setdefault(node_id, now)
            if now - missing_since <= INCREASE_DELAY_S:
                known_nodes.add(node_id)
        for node_id in list(self._missing_since):
            if node_id in known_ids or node_id not in known_nodes:
                del self._missing_since[node_id]
        return tuple(sorted(known_nodes))

    def wait_s(self, endpoint_id, now):
        """Return the time until this node may send a request to the endpoint, in seconds.

        It is 0 if the node may send one now, and infinite if it has no part of the limit.
        """
        share = self._share(endpoint_id, now)
        if share is None or share.tokens >= 1.0:
            return 0.0
        if share.rate_per_s > 0:
            return (1.0 - share.tokens) / share.rate_per_s
        if share.next_rate_per_s is not None:
            return share.next_rate_at - now + 1.0 / share.next_rate_per_s
        return math.inf

    def rate_per_s(self, endpoint_id, now):
        """Return this node's part of the limit; None if the endpoint has none."""
        share = self._share(endpoint_id, now)
        return None if share is None else share.rate_per_s

    def consume(self, endpoint_id, now):
        """Count a request to the endpoint."""
        share = self._share(endpoint_id, now)
        if share is not None:
            share.tokens -= 1.0

    def try_consume(self, endpoint_id, now):
        """Count a request to the endpoint if one may be sent now; return whether it may."""
        if self.wait_s(endpoint_id, now) > 0:
            return False
        self.consume(endpoint_id, now)
        return True

    def _share(self, endpoint_id, now):
        """Return the up-to-date share; None if the endpoint has no limit."""
        limit_per_s = self._limit_table.limit_per_s(endpoint_id)
        if limit_per_s is None:
            self._shares.pop(endpoint_id, None)
            return None
        max_nodes = self._limit_table.max_sharing_nodes(endpoint_id)
        generation = self._live_generation if max_nodes is None else self._known_generation
        share = self._shares.get(endpoint_id)
        if share is None:
            share = _Share(limit_per_s, max_nodes, generation, 0.0, now)
            self._shares[endpoint_id] = share
            self._plan_rate(endpoint_id, share, max(now, self._settled_at), now)
            if now >= self._settled_at:
                share.tokens = self._initial_tokens(endpoint_id, share)
        elif (share.limit_per_s, share.max_nodes, share.generation) != (
            limit_per_s,
            max_nodes,
            generation,
        ):
            share.limit_per_s = limit_per_s
            share.max_nodes = max_nodes
            share.generation = generation
            self._plan_rate(endpoint_id, share, now + INCREASE_DELAY_S, now)
        _accrue(share, now)
        return share

    def _plan_rate(self, endpoint_id, share, increase_at, now):
        """Decrease the rate at once, or plan its increase."""
        rate_per_s = self._divide(endpoint_id, share)
        if rate_per_s == share.next_rate_per_s:
            return
        _accrue(share, now)
        if rate_per_s <= share.rate_per_s:
            if rate_per_s == share.rate_per_s and share.next_rate_per_s is None:
                return
            increase_at = now
            share.rate_per_s = rate_per_s
            share.next_rate_per_s = None
        else:
            share.next_rate_per_s = rate_per_s
            share.next_rate_at = increase_at
        self._changes.append(
            AllowanceChange(
                endpoint_id,
                share.limit_per_s,
                rate_per_s,
                len(self._candidates(share)),
                increase_at - now,
            )
        )

    def _divide(self, endpoint_id, share):
        """Return this node's part of a limit."""
        nodes = self._sharing_nodes(endpoint_id, share)
        if self._node_id not in nodes:
            return 0.0
        return max(share.limit_per_s, MIN_RATE_PER_S) / len(nodes)

    def _initial_tokens(self, endpoint_id, share):
        """Return a fraction of a request, so that the nodes send their first ones in turn."""
        nodes = self._sharing_nodes(endpoint_id, share)
        if self._node_id not in nodes:
            return 0.0
        return nodes.index(self._node_id) / len(nodes)

    def _candidates(self, share):
        return self._live_nodes if share.max_nodes is None else self._known_nodes

    def _sharing_nodes(self, endpoint_id, share):
        nodes = self._candidates(share)
        count = MIN_SHARING_NODES + int(min(share.limit_per_s, len(nodes)))
        if share.max_nodes is not None:
            count = min(count, share.max_nodes)
        if count >= len(nodes):
            return nodes
        key = (endpoint_id, count, nodes)
        if key != self._last_choice[0]:
            self._last_choice = (key, rendezvous.choose(f"limit-{endpoint_id}", nodes, count))
        return self._last_choice[1]


def _accrue(share, now):
    if share.next_rate_per_s is not None and share.next_rate_at <= now:
        _add_tokens(share, share.next_rate_at)
        share.rate_per_s = share.next_rate_per_s
        share.next_rate_per_s = None
    _add_tokens(share, now)


def _add_tokens(share, now):
    if now <= share.updated_at:
        return
    capacity = max(1.0, share.rate_per_s * BURST_S)
    earned = share.rate_per_s * (now - share.updated_at)
    share.tokens = min(capacity, share.tokens + earned)
    share.updated_at = now
