"""Time limits of the reconciler."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class RepairRules:
    """Time limits of the reconciler, in seconds.

    Parameters
    ----------
    stranded_bound_s : float
        Maximum time for which an incomplete group holds accelerators.
    load_timeout_s : float
        Time after which a group that has not become ready is loaded again.
    """

    stranded_bound_s: float = 300.0
    load_timeout_s: float = 900.0
