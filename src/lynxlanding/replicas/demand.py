"""Number of replica groups of each model that the fleet needs."""

import dataclasses

from lynxlanding.dispatch import cost_model

# Share of the engines that initial groups use; the others are spares.
INITIAL_UTILISATION = 0.8
# Ratio of planned groups to the groups that the measured work keeps busy.
HEADROOM_FACTOR = 1.6
# Extra groups of each model, since at any time one may be re-forming.
SPARE_GROUPS = 2.0
MIN_GROUPS = 1.0
# Minimum demand as a share of the initial demand: a node that has just started has no measurements
# yet, and traffic can rise suddenly.
MIN_INITIAL_SHARE = 0.75


@dataclasses.dataclass(slots=True, frozen=True)
class Demand:
    """Number of groups that the whole fleet needs.

    Parameters
    ----------
    groups_by_model : dict of str to float
        Number of groups by model.
    """

    groups_by_model: dict[str, float]


def initial(engine_spec, engine_count):
    """Return the demand to plan for before any work has been measured.

    Parameters
    ----------
    engine_spec : EngineSpec
        Models with their shares of the work.
    engine_count : int
        Number of engines in the fleet.
    """
    total = 0.0
    for model in engine_spec.models.values():
        total += model.share
    groups = {}
    for model in engine_spec.models.values():
        share = model.share / total if total > 0 else 1.0 / len(engine_spec.models)
        groups[model.name] = max(
            MIN_GROUPS, INITIAL_UTILISATION * share * engine_count / model.engines_per_group
        )
    return Demand(groups)


def missing_group_share(engine_spec, model_name, limit_per_s):
    """Return the fraction of a group's capacity that a limit on its requests takes away.

    Parameters
    ----------
    engine_spec : EngineSpec
        Published times.
    model_name : str
        Model of the group.
    limit_per_s : float
        Requests a second that the head of the group takes.
    """
    work = cost_model.Work(engine_spec.mean_prompt_tokens, engine_spec.mean_answer_tokens)
    model = engine_spec.models[model_name]
    slot_s = cost_model.service_time(engine_spec, model, work, engine_spec.slots)
    full_rate_per_s = engine_spec.slots / slot_s
    return max(0.0, 1.0 - limit_per_s / full_rate_per_s)


def measured(engine_spec, busy_groups, engine_count, missing_groups):
    """Return the demand that follows from the measured work.

    Parameters
    ----------
    engine_spec : EngineSpec
        Models to plan for.
    busy_groups : dict of str to float
        Number of groups of each model that the work of all nodes keeps busy.
    engine_count : int
        Number of engines in the fleet.
    missing_groups : dict of str to float
        Number of groups of each model whose capacity limits on requests take away.
    """
    floor = initial(engine_spec, engine_count).groups_by_model
    groups = {}
    for name in engine_spec.models:
        needed = HEADROOM_FACTOR * busy_groups.get(name, 0.0) + SPARE_GROUPS
        groups[name] = max(MIN_GROUPS, MIN_INITIAL_SHARE * floor[name], needed)
        groups[name] += missing_groups.get(name, 0.0)
    return Demand(groups)
