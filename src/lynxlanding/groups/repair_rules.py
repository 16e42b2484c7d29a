"""Bounds of the reconciler."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class RepairRules:
    """Bounds of the reconciler, in seconds.

    Parameters
    ----------
    stranded_bound_s : float
        Longest time for which an incomplete group holds accelerators.
    load_timeout_s : float
        A group that has not become ready after this time is loaded again.
    """

    stranded_bound_s: float = 300.0
    load_timeout_s: float = 900.0
