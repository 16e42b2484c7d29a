"""Planned replica groups of a fabric domain, as stored in the platform's store."""

import dataclasses

import xxhash

from lynxlanding.errors import platform as platform_errors

KIND = "lynxlanding-domains"

# The members are ordered to join; the group is opened once all of them are ready.
FORMING = "forming"
# All members were ready, and the head is ordered to open.
SERVING = "serving"
# The head is ordered to close, then all members to leave; only after that are they free again.
RETIRING = "retiring"
PHASES = frozenset({FORMING, SERVING, RETIRING})

# The epochs of an era of the store start at this multiple of the era, above those of all earlier
# eras. A copy from which the store was restored may lack the latest epochs.
EPOCHS_PER_ERA = 1_000_000


def first_epoch(era):
    """Return the lowest epoch of the groups that are planned in an era."""
    return max(1, era * EPOCHS_PER_ERA)


def make_group_name(domain, epoch, model, members):
    """Return the name of a group.

    It contains a hash of the members, so that two groups with different members never have the same
    name, and the model, because an engine that is joining reports the name but no model.
    """
    digest = xxhash.xxh32_hexdigest("\n".join(members))
    return f"{domain}.{epoch}.{digest}.{model}"


def model_from_name(name):
    """Return the model in a group's name, or None if the name has another format."""
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
        Epoch; higher than that of every earlier group of the domain.
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

    def with_phase(self, phase):
        """Return a copy of the group in the given phase."""
        return dataclasses.replace(self, phase=phase)


@dataclasses.dataclass(slots=True, frozen=True)
class DomainPlan:
    """All planned groups of a fabric domain.

    Parameters
    ----------
    next_epoch : int
        Epoch for the next group to be formed.
    groups : tuple of GroupPlan
        Planned groups; an engine is a member of at most one.
    era : int or None
        Era of the store in which the plan was made; None if the plan does not say.
    """

    next_epoch: int = 1
    groups: tuple[GroupPlan, ...] = ()
    era: int | None = 0

    def find(self, endpoint_id):
        """Return the group that contains an engine, or None."""
        for group in self.groups:
            if endpoint_id in group.members:
                return group
        return None

    def to_value(self):
        """Return the plan as a JSON value."""
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
        return {"next_epoch": self.next_epoch, "groups": groups, "era": self.era}


def _group_from_value(item):
    members = tuple(item["members"])
    texts = (item["name"], item["model"], *members)
    if not members or not all(isinstance(text, str) for text in texts):
        raise ValueError("a name is missing or no text")
    if item["phase"] not in PHASES:
        raise ValueError("unknown phase")
    return GroupPlan(item["name"], int(item["epoch"]), item["model"], members, item["phase"])


def from_value(value):
    """Return the plan decoded from a JSON value.

    Raises
    ------
    errors.platform.MalformedEntry
        If a field is missing or has the wrong type.
    """
    try:
        groups = []
        for item in value["groups"]:
            groups.append(_group_from_value(item))
        return DomainPlan(int(value["next_epoch"]), tuple(groups), value.get("era"))
    except (AttributeError, KeyError, TypeError, ValueError, OverflowError) as e:
        raise platform_errors.MalformedEntry(
            f"cannot decode the stored plan of a domain: {e}"
        ) from e
