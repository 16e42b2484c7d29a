"""Interface of the repair policies."""

from typing import Protocol

from lynxlanding.groups import repair_situation

REPLACE = "replace"
KEEP = "keep"
FREE = "free"


class RepairPolicy(Protocol):
    """Chooses what happens to an incomplete group.

    The reconciler enforces the bound on stranded accelerators whatever the policy says.
    """

    def decide(self, situation: repair_situation.RepairSituation) -> str:
        """Return ``REPLACE``, ``KEEP`` or ``FREE``."""
        ...
