"""Status of the configuration on one node."""

import dataclasses

STARTING = "starting"
CERTAIN = "certain"
UNCERTAIN = "uncertain"
EXPIRED = "expired"


@dataclasses.dataclass(slots=True, frozen=True)
class PropagationStatus:
    """State of the accepted configuration on one node.

    Parameters
    ----------
    state : {"starting", "certain", "uncertain", "expired"}
        ``starting``: no recent revision yet, not ready. ``certain``: confirmed recently, accepts
        changes. ``uncertain``: ready, but accepts no changes. ``expired``: unconfirmed for longer
        than the limit, not ready.
    number : int
        Number of the current revision.
    digest : str
        Digest of the current revision.
    target : int
        Highest revision number known to the node.
    confirmed_age_s : float or None
        Seconds since the store is known to have confirmed the revision; None if never.
    is_watching : bool
        Whether this node is a watcher of its data centre.
    """

    state: str
    number: int
    digest: str
    target: int
    confirmed_age_s: float | None
    is_watching: bool

    @property
    def is_ready(self):
        """Whether the node may serve with this configuration."""
        return self.state in (CERTAIN, UNCERTAIN)

    @property
    def accepts_changes(self):
        """Whether the node may commit changes."""
        return self.state == CERTAIN
