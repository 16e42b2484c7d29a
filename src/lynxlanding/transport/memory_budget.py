"""Budget for the bytes that a process buffers for callers and endpoints.

It addresses clients, or endpoints, that each keep to their own limit but fill the memory together.
The module decides who loses; its callers refuse requests and close connections.
"""

# Largest part of the budget that a share may have and still never lose. With at most 1,335
# connections, such shares exceed the budget by a third at most.
_SMALL_SHARE_DIVISOR = 4096
_NO_LOSERS = ()


class MemoryBudget:
    """Bounds the bytes of all shares together.

    Once they exceed the bound, the largest shares lose until the rest fits. Among equal ones that
    is the share that has not grown for longest, so a stalled client loses before one that sends.
    Small shares do not lose, so that the many ordinary requests survive a few large ones.

    Parameters
    ----------
    max_bytes : int
        Bytes of all shares.
    """

    __slots__ = ("_growths", "_held_bytes", "_loose_shares", "_lost_total", "_max_bytes")

    def __init__(self, max_bytes):
        self._max_bytes = max_bytes
        self._held_bytes = 0
        self._loose_shares = set()
        self._growths = 0
        self._lost_total = 0

    @property
    def max_bytes(self):
        """Bytes of all shares that the budget allows."""
        return self._max_bytes

    @property
    def held_bytes(self):
        """Bytes of all shares."""
        return self._held_bytes

    @property
    def lost_total(self):
        """Number of shares that have lost."""
        return self._lost_total

    def begin(self, on_lost=None):
        """Return a new ``MemoryShare``, which is empty.

        Parameters
        ----------
        on_lost : callable, optional
            Called without arguments by ``notify`` if the share has lost.
        """
        return MemoryShare(self, on_lost)

    def resize(self, share, fixed_bytes, loose_bytes):
        """Change the bytes of a share; return the shares that lose, as ``MemoryShare.resize``."""
        growth = fixed_bytes + loose_bytes - share.fixed_bytes - share.loose_bytes
        share.fixed_bytes = fixed_bytes
        share.loose_bytes = loose_bytes
        self._held_bytes += growth
        if loose_bytes:
            self._loose_shares.add(share)
        else:
            self._loose_shares.discard(share)
        if growth <= 0:
            return _NO_LOSERS
        self._growths += 1
        share.grown_at = self._growths
        if self._held_bytes <= self._max_bytes:
            return _NO_LOSERS
        return self._choose_losers()

    def _choose_losers(self):
        losers = []
        small_bytes = self._max_bytes // _SMALL_SHARE_DIVISOR
        while self._held_bytes > self._max_bytes and self._loose_shares:
            loser = max(self._loose_shares, key=_loss_order)
            if loser.loose_bytes <= small_bytes:
                break
            self._loose_shares.remove(loser)
            self._held_bytes -= loser.loose_bytes
            loser.loose_bytes = 0
            loser.is_lost = True
            losers.append(loser)
        self._lost_total += len(losers)
        return losers


class MemoryShare:
    """Bytes that are buffered for one connection or one body.

    Fixed bytes belong to requests that run and cannot be given up. Loose bytes can: those of a
    request that is still arriving, of an answer being read, or of an unread one.

    Parameters
    ----------
    budget : MemoryBudget
        Budget of all shares.
    on_lost : callable or None
        Gives the loose bytes up.
    """

    __slots__ = ("_budget", "fixed_bytes", "grown_at", "is_lost", "loose_bytes", "on_lost")

    def __init__(self, budget, on_lost):
        self._budget = budget
        self.on_lost = on_lost
        self.fixed_bytes = 0
        self.loose_bytes = 0
        self.grown_at = 0
        self.is_lost = False

    def resize(self, fixed_bytes, loose_bytes):
        """Change the bytes of the share.

        Returns
        -------
        sequence of MemoryShare
            Shares whose loose bytes must be given up, possibly including this one. The budget no
            longer counts these bytes.
        """
        return self._budget.resize(self, fixed_bytes, loose_bytes)


def notify(losers):
    """Call ``on_lost`` of the shares that have lost."""
    for loser in losers:
        if loser.on_lost is not None:
            loser.on_lost()


def _loss_order(share):
    return share.loose_bytes, -share.grown_at
