"""Decides when a node reads the list of nodes, and when it registers itself.

Addresses the pattern in which every node of a large fleet lists the nodes every few seconds, and
several times a second while the store is down, although it hears of new nodes from themselves.
"""

import dataclasses

# New nodes send reports to all others on their own; refreshing the list finds nodes that started
# during a network partition. In a large fleet the relays do so for the others, which hear of the
# nodes that they find through reports.
REFRESH_INTERVAL_S = 5.0
# Shorter than the time after which silent nodes that are not listed are forgotten (30 s).
LARGE_FLEET_REFRESH_INTERVAL_S = 20.0
# Part of an interval by which it is lengthened or shortened, so that nodes do not call in step.
JITTER = 0.2
# Pauses while this node is not registered, since it then receives no reports.
FIRST_BACKOFF_S = 0.2
BACKOFF_FACTOR = 1.5
MAX_BACKOFF_S = 1.0
# A registered node whose last call has failed tries again after this long, with growing pauses. A
# success makes the node available again for work that needs the store.
RETURN_DELAY_S = (0.3, 2.0)
FIRST_REFRESH_BACKOFF_S = 1.0
REFRESH_BACKOFF_FACTOR = 2.0
# Spreads the registrations of nodes that have waited for the store.
MAX_REGISTRATION_DELAY_S = 0.3
# Pause before asking again whether the store is believed to be down.
POLL_S = 0.2

LIST_STALE = "list_stale"
LIST = "list"
REGISTER = "register"


@dataclasses.dataclass(slots=True, frozen=True)
class DirectoryStep:
    """What the directory does next.

    Parameters
    ----------
    call : str or None
        ``LIST_STALE``, ``LIST``, ``REGISTER``, or None if it only waits.
    wait_s : float
        How long it waits if it makes no call.
    """

    call: str | None
    wait_s: float = 0.0


class DirectorySchedule:
    """Decides about the calls of one node's directory; performs no I/O.

    A list that may be stale costs the store a tenth, so that it comes first: it shows whether the
    node is still registered from before a restart. After a registration, a current list shows all
    nodes that have registered before, so that one of two nodes that start at once sees the other.

    Parameters
    ----------
    random_state : random.Random
        Spreads the calls of several nodes.
    """

    def __init__(self, random_state):
        self._random_state = random_state
        self._is_registered = None
        self._needs_current_list = False
        self._era = None
        self._failures = 0
        self._next_at = 0.0
        self._was_believed_down = False
        self._was_failing = False

    def record_listed(self, now, is_registered, era, *, reads_for_others):
        """Record a list.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        is_registered : bool
            Whether this node is in the list with its present address.
        era : int
            Era of the store.
        reads_for_others : bool
            Whether other nodes rely on this one's reads, or the fleet is small.
        """
        self._failures = 0
        self._is_registered = is_registered
        self._era = era
        self._needs_current_list = False
        self._next_at = now
        if is_registered:
            self._next_at = now + self._spread(_refresh_interval_s(reads_for_others))

    def record_registered(self, now):
        """Record that the node has registered."""
        self._failures = 0
        self._is_registered = True
        self._needs_current_list = True
        self._next_at = now

    def record_failed(self, now, *, reads_for_others):
        """Record that a call has failed."""
        self._failures += 1
        if self._is_registered and not self._needs_current_list:
            growth = REFRESH_BACKOFF_FACTOR ** min(self._failures - 1, 20)
            pause_s = min(FIRST_REFRESH_BACKOFF_S * growth, _refresh_interval_s(reads_for_others))
        else:
            growth = BACKOFF_FACTOR ** min(self._failures - 1, 20)
            pause_s = min(FIRST_BACKOFF_S * growth, MAX_BACKOFF_S)
        self._next_at = now + self._spread(pause_s)

    def next_step(self, now, era, *, is_believed_down, is_failing):
        """Return the next ``DirectoryStep``.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        era : int or None
            Era of the store. One that comes back from an older copy may have lost registrations.
        is_believed_down : bool
            Whether a call would only find that the store does not answer.
        is_failing : bool
            Whether the store has refused or not answered the last call of this node.
        """
        if is_believed_down:
            self._was_believed_down = True
            return DirectoryStep(None, POLL_S)
        if self._was_believed_down:
            self._was_believed_down = False
            self._failures = 0
            self._was_failing = False
            if not self._is_registered:
                self._next_at = now + self._random_state.uniform(0.0, MAX_REGISTRATION_DELAY_S)
        if is_failing and not self._was_failing and self._is_registered:
            delay_s = self._random_state.uniform(*RETURN_DELAY_S)
            self._next_at = min(max(now, self._next_at), now + delay_s)
        self._was_failing = is_failing
        if self._is_registered and era != self._era:
            self._is_registered = False
            self._next_at = now
        if now < self._next_at:
            return DirectoryStep(None, min(POLL_S, self._next_at - now))
        if self._needs_current_list:
            return DirectoryStep(LIST)
        if self._is_registered is False:
            return DirectoryStep(REGISTER)
        return DirectoryStep(LIST_STALE)

    def _spread(self, duration_s):
        return duration_s * self._random_state.uniform(1 - JITTER, 1 + JITTER)


def _refresh_interval_s(reads_for_others):
    return REFRESH_INTERVAL_S if reads_for_others else LARGE_FLEET_REFRESH_INTERVAL_S
