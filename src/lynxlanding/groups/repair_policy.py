"""Interface of the repair policies."""

from typing import Protocol

from lynxlanding.groups import repair_situation

# Replace the missing VMs with spares.
REPLACE = "replace"
# Wait for the missing VMs.
KEEP = "keep"
# Remove the group, so that its remaining VMs become free.
FREE = "free"


class RepairPolicy(Protocol):
    """Decides how to handle an incomplete group.

    The reconciler enforces the bound on stranded accelerators regardless of the policy.
    """

    def decide(self, situation: repair_situation.RepairSituation) -> str:
        """Return ``REPLACE``, ``KEEP`` or ``FREE``."""
        ...
