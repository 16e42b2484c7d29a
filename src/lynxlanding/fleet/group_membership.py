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
    """Membership of an engine in a group, as reported by the engine.

    Parameters
    ----------
    name : str
        Name of the group.
    epoch : int
        Epoch of the membership.
    rank : int
        Rank among the members; the head has rank 0.
    state : str
        One of ``STATES``. Only the head enters the states open, closing and broken.
    """

    name: str
    epoch: int
    rank: int
    state: str

    @property
    def is_head(self):
        """Whether the engine is the head, which receives the group's requests."""
        return self.rank == 0

    def belongs_to(self, name, epoch):
        """Return whether the engine belongs to the group ``name`` in ``epoch``."""
        return self.name == name and self.epoch == epoch
