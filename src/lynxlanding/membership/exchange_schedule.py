"""Timing of gossip exchanges and selection of peers."""

import dataclasses

from lynxlanding.membership import member, scopes

WIDE_INTERVAL_S = 1.0
# Interval of exchanges with addresses that belong to no live node but are known from the settings,
# the store or removed nodes. They reconnect the two sides after a network partition.
RECONNECT_INTERVAL_S = 5.0
MAX_REMOVED_ADDRESSES = 1000


@dataclasses.dataclass(slots=True, frozen=True)
class PlannedExchange:
    """An exchange to start.

    Parameters
    ----------
    scope : {"place", "wide"}
        Scope of the exchange.
    address : str
        ``host:port`` of the peer listener.
    """

    scope: str
    address: str


class ExchangeSchedule:
    """Schedules exchanges with randomly selected peers.

    Parameters
    ----------
    info : NodeInfo
        The local node.
    interval_s : float
        Interval between exchanges within the data centre.
    random_state : numpy.random.Generator
        Selects the peers.
    now : float
        Monotonic seconds.
    """

    def __init__(self, info, interval_s, random_state, now):
        self._info = info
        self._interval_s = interval_s
        self._random_state = random_state
        # A random phase spreads the exchanges of nodes that start at the same time.
        self._next_place_at = now + interval_s * random_state.random()
        self._next_wide_at = now + WIDE_INTERVAL_S * random_state.random()
        self._next_reconnect_at = now
        self._seeds = ()
        self._removed_addresses = {}
        self._members = None
        self._local_addresses = []
        self._remote_addresses = []

    def set_seeds(self, addresses):
        """Replace the seed addresses, which come from the settings and the store."""
        self._seeds = tuple(addresses)

    def add_removed_address(self, address):
        """Add the address of a removed node, for attempts to reconnect."""
        self._removed_addresses[address] = None
        if len(self._removed_addresses) > MAX_REMOVED_ADDRESSES:
            del self._removed_addresses[next(iter(self._removed_addresses))]

    def due_exchanges(self, members, now):
        """Return the exchanges that are due.

        Parameters
        ----------
        members : tuple of Member
            Known nodes; the local node is skipped.
        now : float
            Monotonic seconds.
        """
        if members is not self._members:
            self._group_addresses(members)
        local_addresses, remote_addresses = self._local_addresses, self._remote_addresses
        planned = []
        if now >= self._next_place_at:
            self._next_place_at = _next_due(self._next_place_at, self._interval_s, now)
            if local_addresses:
                planned.append(PlannedExchange(scopes.PLACE, self._choose(local_addresses)))
        if now >= self._next_wide_at:
            self._next_wide_at = _next_due(self._next_wide_at, WIDE_INTERVAL_S, now)
            if remote_addresses:
                planned.append(PlannedExchange(scopes.WIDE, self._choose(remote_addresses)))
        if now >= self._next_reconnect_at:
            has_no_peers = not local_addresses and not remote_addresses
            interval = self._interval_s if has_no_peers else RECONNECT_INTERVAL_S
            self._next_reconnect_at = _next_due(self._next_reconnect_at, interval, now)
            candidates = self._reconnect_candidates(members)
            if candidates:
                planned.append(PlannedExchange(scopes.WIDE, self._choose(candidates)))
        return planned

    def immediate_exchanges(self, members, count):
        """Return exchanges with ``count`` live nodes, half of them in the local data centre."""
        if members is not self._members:
            self._group_addresses(members)
        local_addresses, remote_addresses = (
            list(self._local_addresses),
            list(self._remote_addresses),
        )
        self._random_state.shuffle(local_addresses)
        self._random_state.shuffle(remote_addresses)
        local_count = max(count - len(remote_addresses), count // 2)
        planned = [
            PlannedExchange(scopes.PLACE, address) for address in local_addresses[:local_count]
        ]
        for address in remote_addresses[: count - len(planned)]:
            planned.append(PlannedExchange(scopes.WIDE, address))
        return planned

    def _group_addresses(self, members):
        """Split the addresses of the other live nodes into local and remote data centres.

        Called only when the tuple of members has changed.
        """
        self._members = members
        self._local_addresses, self._remote_addresses = [], []
        for node in members:
            if node.state != member.LIVE or node.node_id == self._info.node_id:
                continue
            is_local = node.place == self._info.place
            (self._local_addresses if is_local else self._remote_addresses).append(node.address)

    def _reconnect_candidates(self, members):
        """Return the known addresses that belong to no live node."""
        candidates = set(self._seeds) | set(self._removed_addresses)
        for node in members:
            candidates.add(node.address)
        candidates.difference_update(
            self._local_addresses, self._remote_addresses, (self._info.address,)
        )
        return sorted(candidates)

    def _choose(self, addresses):
        return addresses[int(self._random_state.integers(len(addresses)))]


def _next_due(due_at, interval, now):
    """Return the next due time; after a missed interval, count from now."""
    return due_at + interval if due_at + interval > now else now + interval
