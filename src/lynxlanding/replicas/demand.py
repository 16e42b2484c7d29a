"""How many groups of each model the fleet needs."""

import dataclasses

# Part of the engines that is planned for when traffic starts; the rest are spares.
INITIAL_USE = 0.8
# Planned groups over the groups that the measured work would keep busy.
HEADROOM = 1.6
# Further groups of each model, since one is always being formed again.
SPARE_GROUPS = 2.0
MIN_GROUPS = 1.0
# Part of the initial demand that is kept up whatever was measured: a node that has just started
# has measured nothing yet, and traffic can jump.
FLOOR_PART = 0.75


@dataclasses.dataclass(slots=True, frozen=True)
class Demand:
    """Needed groups of the whole fleet.

    Parameters
    ----------
    groups_by_model : dict of str to float
        Groups of each model.
    """

    groups_by_model: dict[str, float]


def initial(engine, engines):
    """Return the demand before any work was measured.

    Parameters
    ----------
    engine : EngineSpec
        Models with their shares of the work.
    engines : int
        Engines of the fleet.
    """
    total = 0.0
    for model in engine.models.values():
        total += model.share
    groups = {}
    for model in engine.models.values():
        share = model.share / total if total > 0 else 1.0 / len(engine.models)
        groups[model.name] = max(MIN_GROUPS, INITIAL_USE * share * engines / model.size)
    return Demand(groups)


def measured(engine, busy_groups, engines):
    """Return the demand for measured work.

    Parameters
    ----------
    engine : EngineSpec
        Models.
    busy_groups : dict of str to float
        Groups of each model that the work of all nodes keeps busy.
    engines : int
        Engines of the fleet.
    """
    floor = initial(engine, engines).groups_by_model
    groups = {}
    for name in engine.models:
        needed = HEADROOM * busy_groups.get(name, 0.0) + SPARE_GROUPS
        groups[name] = max(MIN_GROUPS, FLOOR_PART * floor[name], needed)
    return Demand(groups)
