"""Membership of an engine in a replica group."""

import dataclasses

JOINING = "joining"
READY = "ready"
OPEN = "open"
CLOSING = "closing"
BROKEN = "broken"
STATES = frozenset({JOINING, READY, OPEN, CLOSING, BROKEN})


@dataclasses.dataclass(slots=True, frozen=True)
class GroupMembership:
    """What an engine says about the group that it belongs to.

    Parameters
    ----------
    name : str
        Name of the group.
    epoch : int
        Epoch of the membership.
    rank : int
        Position among the members; the head has rank 0.
    state : str
        One of ``STATES``. Only a head becomes open, closing or broken.
    """

    name: str
    epoch: int
    rank: int
    state: str

    @property
    def is_head(self):
        """Whether the engine receives the group's requests."""
        return self.rank == 0

    def belongs_to(self, name, epoch):
        """Return whether this is the membership of that group and epoch."""
        return self.name == name and self.epoch == epoch
