"""How far a node can trust its configuration."""

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
        ``starting``: no recent revision known yet, not ready. ``uncertain``: serving, accepts no
        changes. ``expired``: uncertain beyond the limit, not ready.
    number : int
        Revision in effect.
    digest : str
        Its digest.
    target : int
        Highest revision heard of.
    confirmed_age_s : float or None
        Seconds since the store confirmed the revision; None if it never has.
    is_watching : bool
        Whether this node watches the store for its data centre.
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
