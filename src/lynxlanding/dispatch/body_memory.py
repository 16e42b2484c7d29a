"""Memory for the bodies that are being read, which all attempts share."""

from lynxlanding.errors import endpoint as endpoint_errors
from lynxlanding.transport import memory_budget


class BodyMemory:
    """Counts bodies of endpoints toward the memory budget of the process.

    Parameters
    ----------
    budget : MemoryBudget
        Budget that callers' requests and answers share.
    """

    __slots__ = ("_budget",)

    def __init__(self, budget):
        self._budget = budget

    @property
    def held_bytes(self):
        """Bytes that the budget counts."""
        return self._budget.held_bytes

    def begin(self):
        """Return the ``BodyShare`` of a body that is to be read."""
        return BodyShare(self._budget.begin())


class BodyShare:
    """Bytes of one body that have been read and are not passed on yet.

    Parameters
    ----------
    share : MemoryShare
        Share of the budget.
    """

    __slots__ = ("_own_bytes", "_share")

    def __init__(self, share):
        self._share = share
        self._own_bytes = 0

    def add(self, received):
        """Count received bytes.

        Raises
        ------
        errors.endpoint.ResponseTooLarge
            If there is no memory for the rest of the body.
        """
        self._own_bytes += received
        if not self._share.is_lost:
            memory_budget.notify(self._share.resize(0, self._own_bytes))
        if self._share.is_lost:
            raise endpoint_errors.ResponseTooLarge(
                f"no memory after {self._own_bytes} bytes of the body"
            )

    def release(self):
        """Count the bytes so far as passed on."""
        self._own_bytes = 0
        self._share.resize(0, 0)

    def end(self):
        """Release the bytes of a body that is no longer read."""
        self.release()
