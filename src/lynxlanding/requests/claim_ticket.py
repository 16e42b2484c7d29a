"""Permission to send one claimed request."""

import time


class ClaimTicket:
    """A claim that this node owns.

    Exactly one of ``complete`` and ``give_up`` takes effect; later calls do nothing.

    Parameters
    ----------
    keeper : ClaimKeeper
        Keeper that made the claim.
    name : str
        Object name of the claim.
    claim : Claim
        The claim.
    """

    def __init__(self, keeper, name, claim):
        self._keeper = keeper
        self._name = name
        self._claim = claim
        self._ended = False

    def may_send(self):
        """Permit one send; call immediately before the first byte is sent."""
        return self._claim.may_send(time.monotonic())

    def mark_not_run(self):
        """Record that the permitted send certainly did not run."""
        self._claim.mark_not_run()

    def complete(self, response):
        """Record the complete response."""
        if self._ended:
            return
        self._ended = True
        self._keeper.record_outcome(self._name, self._claim, self._claim.complete(response))

    def give_up(self):
        """Record that there is no complete response: ``not_run`` if certain, else ``unknown``."""
        if self._ended:
            return
        self._ended = True
        self._keeper.record_outcome(self._name, self._claim, self._claim.give_up())
