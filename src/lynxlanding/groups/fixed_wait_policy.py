"""Repair policy with a fixed wait."""

from lynxlanding.groups import repair_policy


class FixedWaitPolicy:
    """Replaces with a spare, otherwise waits for a fixed time and then frees.

    Parameters
    ----------
    wait_s : float
        Wait for the lost VM; 0 frees at once, infinity waits until the bound on stranding.
    """

    def __init__(self, wait_s):
        self._wait_s = wait_s

    def decide(self, situation):
        """Return ``REPLACE``, ``KEEP`` or ``FREE``."""
        if situation.spare_vms >= situation.missing_vms:
            return repair_policy.REPLACE
        if situation.waited_s < self._wait_s:
            return repair_policy.KEEP
        return repair_policy.FREE
