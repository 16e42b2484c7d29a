"""Registration that is missing after an outage of the store."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Lapse:
    """State of an endpoint whose registration has lapsed.

    Parameters
    ----------
    seen_at, remove_at : float
        Times at which the registration was found missing and at which the endpoint is removed, in
        monotonic seconds.
    is_confirmed : bool
        Whether the endpoint has answered a health check since.
    has_failed_check : bool
        Whether a health check has failed since.
    """

    seen_at: float
    remove_at: float
    is_confirmed: bool = False
    has_failed_check: bool = False
