"""How lost VMs come back."""

import dataclasses
import math


@dataclasses.dataclass(slots=True, frozen=True)
class ReturnModel:
    """Time until a lost VM returns: a mixture of an exponential and of never.

    Parameters
    ----------
    return_share : float
        Share of lost VMs that return by themselves (pauses, short partitions, restarts).
    mean_return_s : float
        Mean time until such a VM returns.
    reload_s : float
        Downtime saved if the group is still together when the VM returns.
    """

    # 450 of the 474 daily events of the design size are restarts or replacements.
    return_share: float = 450 / 474
    mean_return_s: float = 90.0
    reload_s: float = 60.0

    def hazard_per_s(self, waited_s):
        """Return the rate at which a VM returns that has been away for ``waited_s``."""
        still_away = self.return_share * math.exp(-waited_s / self.mean_return_s)
        never = 1.0 - self.return_share
        if still_away + never == 0.0:
            return 0.0
        return still_away / self.mean_return_s / (still_away + never)
