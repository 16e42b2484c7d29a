"""When to open exchanges, and with whom."""

import dataclasses

from lynxlanding.membership import member, scopes

WIDE_INTERVAL_S = 1.0
# Interval of attempts at addresses that are known from the settings, from the store or from
# removed nodes, but belong to no live node: they join the sides of a healed partition.
CONTACT_INTERVAL_S = 5.0
MAX_REMOVED_ADDRESSES = 1000


@dataclasses.dataclass(slots=True, frozen=True)
class PlannedExchange:
    """One exchange to open.

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
    """Chooses peers at random.

    Parameters
    ----------
    info : NodeInfo
        The own node.
    interval_s : float
        Interval between exchanges within the data centre.
    random_state : numpy.random.Generator
        Chooses the peers.
    now : float
        Monotonic seconds.
    """

    def __init__(self, info, interval_s, random_state, now):
        self._info = info
        self._interval_s = interval_s
        self._random = random_state
        # A random phase keeps nodes that start together from exchanging in step.
        self._place_at = now + interval_s * random_state.random()
        self._wide_at = now + WIDE_INTERVAL_S * random_state.random()
        self._contact_at = now
        self._seeds = ()
        self._removed = {}
        self._members = None
        self._near = []
        self._far = []

    def set_seeds(self, addresses):
        """Replace the addresses known from the settings and the store."""
        self._seeds = tuple(addresses)

    def add_removed(self, address):
        """Remember the address of a removed node."""
        self._removed[address] = None
        if len(self._removed) > MAX_REMOVED_ADDRESSES:
            del self._removed[next(iter(self._removed))]

    def due(self, members, now):
        """Return the exchanges that are due.

        Parameters
        ----------
        members : tuple of Member
            Known nodes; the own one is left out.
        now : float
            Monotonic seconds.
        """
        if members is not self._members:
            self._sort(members)
        near, far = self._near, self._far
        planned = []
        if now >= self._place_at:
            self._place_at = _next(self._place_at, self._interval_s, now)
            if near:
                planned.append(PlannedExchange(scopes.PLACE, self._choose(near)))
        if now >= self._wide_at:
            self._wide_at = _next(self._wide_at, WIDE_INTERVAL_S, now)
            if far:
                planned.append(PlannedExchange(scopes.WIDE, self._choose(far)))
        if now >= self._contact_at:
            is_alone = not near and not far
            interval = self._interval_s if is_alone else CONTACT_INTERVAL_S
            self._contact_at = _next(self._contact_at, interval, now)
            contacts = self._contacts(members)
            if contacts:
                planned.append(PlannedExchange(scopes.WIDE, self._choose(contacts)))
        return planned

    def pushes(self, members, count):
        """Return exchanges with ``count`` live nodes, half of them in the own data centre."""
        if members is not self._members:
            self._sort(members)
        near, far = list(self._near), list(self._far)
        self._random.shuffle(near)
        self._random.shuffle(far)
        near_count = max(count - len(far), count // 2)
        planned = [PlannedExchange(scopes.PLACE, address) for address in near[:near_count]]
        for address in far[: count - len(planned)]:
            planned.append(PlannedExchange(scopes.WIDE, address))
        return planned

    def _sort(self, members):
        """Split the live nodes by data centre; the same tuple is not split again."""
        self._members = members
        self._near, self._far = [], []
        for item in members:
            if item.state != member.LIVE or item.node_id == self._info.node_id:
                continue
            is_near = item.place == self._info.place
            (self._near if is_near else self._far).append(item.address)

    def _contacts(self, members):
        """Return the known addresses that belong to no live node."""
        contacts = set(self._seeds) | set(self._removed)
        for item in members:
            contacts.add(item.address)
        contacts.difference_update(self._near, self._far, (self._info.address,))
        return sorted(contacts)

    def _choose(self, addresses):
        return addresses[int(self._random.integers(len(addresses)))]


def _next(due_at, interval, now):
    """Return the next time on the interval's grid; missed times are skipped."""
    return due_at + interval if due_at + interval > now else now + interval
