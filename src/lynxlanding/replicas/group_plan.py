"""Planned replica groups of a fabric domain, as kept in the platform's store."""

import dataclasses

from lynxlanding.errors import platform as platform_errors

KIND = "lynxlanding-domains"

# Members are ordered to join; the head opens once all of them are ready.
FORMING = "forming"
# The open order was given.
SERVING = "serving"
# The group is closed and its head leaves; only then its members are free.
RETIRING = "retiring"
PHASES = frozenset({FORMING, SERVING, RETIRING})


def make_name(domain, epoch, model):
    """Return the name of a group; an engine that joins tells no model but this name."""
    return f"{domain}.{epoch}.{model}"


def model_of(name):
    """Return the model in a group's name, or None if another system gave the name."""
    parts = name.split(".")
    return parts[-1] if len(parts) >= 3 else None


@dataclasses.dataclass(slots=True, frozen=True)
class GroupPlan:
    """A planned group.

    Parameters
    ----------
    name : str
        Name, unique in the service.
    epoch : int
        Epoch; every group of a domain gets a higher one than all before.
    model : str
        Model that the group serves.
    members : tuple of str
        Endpoint ids, head first.
    phase : str
        One of ``PHASES``.
    """

    name: str
    epoch: int
    model: str
    members: tuple[str, ...]
    phase: str

    @property
    def head(self):
        """Endpoint id of the head."""
        return self.members[0]

    def in_phase(self, phase):
        """Return the group in another phase."""
        return dataclasses.replace(self, phase=phase)


@dataclasses.dataclass(slots=True, frozen=True)
class DomainPlan:
    """All planned groups of a domain.

    Parameters
    ----------
    next_epoch : int
        Epoch of the next group.
    groups : tuple of GroupPlan
        Groups; an engine is a member of at most one.
    """

    next_epoch: int = 1
    groups: tuple[GroupPlan, ...] = ()

    def find(self, endpoint_id):
        """Return the group of an engine or None."""
        for group in self.groups:
            if endpoint_id in group.members:
                return group
        return None

    def to_value(self):
        """Return the JSON form."""
        groups = []
        for group in self.groups:
            groups.append(
                {
                    "name": group.name,
                    "epoch": group.epoch,
                    "model": group.model,
                    "members": list(group.members),
                    "phase": group.phase,
                }
            )
        return {"next_epoch": self.next_epoch, "groups": groups}


def from_value(value):
    """Return the plan of a JSON form; raises ``MalformedEntry``."""
    try:
        groups = []
        for item in value["groups"]:
            groups.append(
                GroupPlan(
                    item["name"],
                    int(item["epoch"]),
                    item["model"],
                    tuple(item["members"]),
                    item["phase"],
                )
            )
        return DomainPlan(int(value["next_epoch"]), tuple(groups))
    except (KeyError, TypeError, ValueError) as e:
        raise platform_errors.MalformedEntry(f"plan of a domain: {e}") from e
