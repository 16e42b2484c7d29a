"""Permission to send a claimed request."""

import time


class ClaimTicket:
    """Controls the sends of a claimed request and records its outcome.

    Only the first call of ``complete`` or ``give_up`` takes effect.

    Parameters
    ----------
    manager : ClaimManager
        Manager that made the claim.
    name : str
        Object name of the claim.
    claim : Claim
        Claim of the request.
    """

    def __init__(self, manager, name, claim):
        self._manager = manager
        self._name = name
        self._claim = claim
        self._is_finished = False

    def may_send(self):
        """Return whether the request may be sent now; call it immediately before sending.

        True permits one send.
        """
        return self._claim.may_send(time.monotonic())

    def mark_not_run(self):
        """Record that the endpoint certainly did not execute the permitted send."""
        self._claim.mark_not_run()

    def complete(self, response):
        """Record a complete response as the outcome."""
        if self._is_finished:
            return
        self._is_finished = True
        self._manager.record_outcome(self._name, self._claim, self._claim.complete(response))

    def give_up(self):
        """Record an outcome without response: ``not_run`` if that is certain, else ``unknown``."""
        if self._is_finished:
            return
        self._is_finished = True
        self._manager.record_outcome(self._name, self._claim, self._claim.give_up())
