"""How lost VMs come back with their state."""

import dataclasses
import math


@dataclasses.dataclass(slots=True, frozen=True)
class ReturnModel:
    """Time until a lost VM returns with its engine's state: an exponential, or never.

    Only such a return saves anything: an engine that restarted must be loaded again, whether its
    group waited or was freed and formed anew.

    Parameters
    ----------
    return_share : float
        Share of lost VMs that return with their state (pauses, short partitions).
    mean_return_s : float
        Mean time until such a VM returns.
    reload_s : float
        Downtime saved if the group is still together when the VM returns.
    """

    # An assumption of the repair experiment: a quarter of the losses are short pauses. The
    # design page gives only the sum of restarts and replacements.
    return_share: float = 0.25
    mean_return_s: float = 20.0
    reload_s: float = 60.0

    def hazard_per_s(self, waited_s):
        """Return the rate at which a VM returns that has been away for ``waited_s``."""
        still_away = self.return_share * math.exp(-waited_s / self.mean_return_s)
        never = 1.0 - self.return_share
        if still_away + never == 0.0:
            return 0.0
        return still_away / self.mean_return_s / (still_away + never)
