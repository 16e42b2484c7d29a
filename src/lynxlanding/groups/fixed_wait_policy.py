"""Repair policy with a fixed wait."""

from lynxlanding.groups import repair_policy


class FixedWaitPolicy:
    """Replaces lost VMs with spares; without enough spares, frees the group after a fixed wait.

    Parameters
    ----------
    wait_s : float
        Time to wait for a lost VM, in seconds. With 0 the group is freed at once; with infinity it
        waits until the reconciler's bound on stranded accelerators.
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
