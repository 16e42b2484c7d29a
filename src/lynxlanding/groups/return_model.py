"""Model of the return of lost VMs."""

import dataclasses
import math


@dataclasses.dataclass(slots=True, frozen=True)
class ReturnModel:
    """Distribution of the time until a lost VM returns with its engine's state.

    The time is exponentially distributed for a part of the VMs; the others never return with their
    state. Only a return with state saves downtime, since a restarted engine must be loaded again,
    whether its group has waited or has been freed and formed again.

    Parameters
    ----------
    return_share : float
        Fraction of lost VMs that return with their state (pauses, short partitions).
    mean_return_s : float
        Mean time until such a VM returns, in seconds.
    reload_s : float
        Downtime in seconds that is saved if the group still exists when the VM returns.
    """

    # Assumes that a quarter of the losses are short pauses, like the repair experiment. The design
    # page gives only the sum of restarts and replacements.
    return_share: float = 0.25
    mean_return_s: float = 20.0
    reload_s: float = 60.0

    def hazard_per_s(self, waited_s):
        """Return the rate of return of a VM that has been lost for ``waited_s``."""
        not_yet_returned = self.return_share * math.exp(-waited_s / self.mean_return_s)
        never_returns = 1.0 - self.return_share
        if not_yet_returned + never_returns == 0.0:
            return 0.0
        return not_yet_returned / self.mean_return_s / (not_yet_returned + never_returns)
