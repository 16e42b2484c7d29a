"""Chooses the groups that a fabric domain forms from free engines or retires."""

import dataclasses
import math

# Share of a domain's engines that is kept as spares once every model has the groups it needs.
SPARE_SHARE = 0.2
# Coverage is the ratio of existing to needed groups of a model. Groups are formed up to this
# coverage as long as enough spares are left.
MAX_COVERAGE = 2.0
# Spares are used for a model whose coverage is below this.
SPARE_USE_COVERAGE = 1.2
# A model below this coverage is scarce: engines that will complete a group of it are not used
# otherwise, and other models give up groups for it.
SCARCE_COVERAGE = 0.9
# Before traffic, a group is retired to provide spares if its model keeps this coverage.
SUFFICIENT_COVERAGE = 0.9


@dataclasses.dataclass(slots=True, frozen=True)
class FleetState:
    """Needed and existing groups of the whole fleet, as the planner of one domain sees them.

    Parameters
    ----------
    needed : dict of str to float
        Number of needed groups by model.
    groups_elsewhere : dict of str to float
        Number of groups in the other domains by model.
    domain_share : float
        Share of the fleet's engines that are in this domain.
    is_before_traffic : bool
        Whether no request has arrived yet.
    loads_in_progress : dict of str to (str or None)
        Model that each engine loads, by endpoint id; None if the model is unknown.
    evacuated : frozenset of str
        Evacuated data centres. Their engines join no new groups, and groups with members there do
        not count.
    """

    needed: dict[str, float]
    groups_elsewhere: dict[str, float]
    domain_share: float
    is_before_traffic: bool = False
    loads_in_progress: dict[str, str | None] = dataclasses.field(default_factory=dict)
    evacuated: frozenset[str] = frozenset()


def choose_groups(engine_spec, free, planned, fleet_state, soon_free=()):
    """Return the members of the groups to form, as a list of (model, member ids).

    Parameters
    ----------
    engine_spec : EngineSpec
        Models with their group sizes.
    free : list of EndpointRecord
        Engines that may become members.
    planned : dict of str to int
        Number of serving and forming groups of this domain by model.
    fleet_state : FleetState
        State of the whole fleet.
    soon_free : iterable of EndpointRecord
        Engines that are about to leave a retiring group.
    """
    free = list(free)
    planned = dict(planned)
    spares = spare_count(engine_spec, len(free), planned)
    if fleet_state.is_before_traffic and any(record.last_model is None for record in free):
        # Every engine joins a group at least once, so that it holds a model in memory.
        spares = 0
    chosen = []
    while free:
        model, members = _choose_next_group(
            engine_spec, free, planned, fleet_state, spares, soon_free
        )
        if model is None:
            return chosen
        for record in members:
            free.remove(record)
        planned[model.name] = planned.get(model.name, 0) + 1
        chosen.append((model.name, tuple(record.endpoint_id for record in members)))
    return chosen


def spare_count(engine_spec, free, planned):
    """Return the number of engines of a domain that are kept as spares."""
    engines = free
    for name, number in planned.items():
        engines += number * engine_spec.models[name].engines_per_group
    return math.ceil(engines * SPARE_SHARE)


def choose_group_for_spares(engine_spec, free, planned, fleet_state, groups):
    """Return the index of the group to retire before traffic to provide spares, or None.

    Parameters
    ----------
    engine_spec : EngineSpec
        Models with their group sizes.
    free : list of EndpointRecord
        Engines that are in no group.
    planned : dict of str to int
        Number of groups of this domain by model.
    fleet_state : FleetState
        State of the whole fleet.
    groups : list of tuple
        Serving groups as (index, model, member records).
    """
    if len(free) >= spare_count(engine_spec, len(free), planned):
        return None
    by_size = sorted(groups, key=lambda group: engine_spec.models[group[1]].engines_per_group)
    for index, model, _ in by_size:
        remaining = {**planned, model: planned[model] - 1}
        if coverage(model, remaining, fleet_state) >= SUFFICIENT_COVERAGE:
            return index
    return None


def _choose_next_group(engine_spec, free, planned, fleet_state, spares, soon_free):
    """Return the model of the next group and its members, or None and an empty list."""
    # The model with the lowest coverage comes first. On a tie, as between models that are covered
    # well enough, the larger group does: a small group fits into the remaining engines, but a large
    # one would not.
    ranked = rank_by_coverage(
        engine_spec.models.values(), planned, fleet_state, tied_above=SUFFICIENT_COVERAGE
    )
    # Before traffic, a group that was retired to provide spares must not form again from them.
    spare_use_coverage = (
        SUFFICIENT_COVERAGE if fleet_state.is_before_traffic else SPARE_USE_COVERAGE
    )
    is_scarcer_model_waiting = False
    reserved = set()
    for model in ranked:
        current_coverage = coverage(model.name, planned, fleet_state)
        uses_spares = len(free) - model.engines_per_group < spares
        if current_coverage >= MAX_COVERAGE or (
            current_coverage >= spare_use_coverage and uses_spares
        ):
            continue
        if is_scarcer_model_waiting and current_coverage >= SUFFICIENT_COVERAGE:
            # The scarcer model will need these engines once enough others are ready.
            continue
        usable = [record for record in free if record.endpoint_id not in reserved]
        members = _choose_members(usable, model, fleet_state)
        if len(members) == model.engines_per_group:
            return model, members
        missing_count = model.engines_per_group - len(members)
        if current_coverage < SCARCE_COVERAGE and missing_count <= count_preloaded(
            soon_free, model.name
        ):
            # The other members of its next group are about to become free.
            reserved.update(record.endpoint_id for record in members)
        is_scarcer_model_waiting = is_scarcer_model_waiting or current_coverage < SCARCE_COVERAGE
        if fleet_state.is_before_traffic and not any(planned.values()):
            # Engines register one at a time: small groups must not use up those of a large one.
            return None, []
    return None, []


def rank_by_coverage(models, planned, fleet_state, *, tied_above=math.inf):
    """Return the models with the lowest coverage first; on a tie, the larger groups first.

    Coverages above ``tied_above`` count as equal.
    """

    def rank(model):
        ranked_coverage = min(tied_above, coverage(model.name, planned, fleet_state))
        return ranked_coverage, -model.engines_per_group

    return sorted(models, key=rank)


def coverage(name, planned, fleet_state):
    """Return the ratio of existing to needed groups of a model."""
    needed = max(1e-6, fleet_state.needed.get(name, 1.0))
    local_groups = planned.get(name, 0)
    fleet_coverage = (fleet_state.groups_elsewhere.get(name, 0.0) + local_groups) / needed
    local_coverage = local_groups / (needed * max(1e-6, fleet_state.domain_share))
    if fleet_state.is_before_traffic:
        # Engines register one at a time, and every domain forms its own share of the groups.
        return local_coverage
    # All domains plan at the same time, so the others are assumed to act as this one does.
    return max(fleet_coverage, local_coverage)


def _choose_members(free, model, fleet_state):
    """Return up to ``engines_per_group`` engines, those that can join the group soonest."""
    candidates = []
    for record in free:
        # Loading weights takes many times longer than forming a group. Under traffic, free engines
        # stage a model first, so that the other members need not wait for them.
        if fleet_state.is_before_traffic or not needs_load(record, model.name):
            candidates.append(record)
    candidates.sort(key=lambda record: member_rank(record, model.name))
    return candidates[: model.engines_per_group]


def member_rank(record, model):
    """Return the sort key of a candidate member; engines that hold other models come last."""
    held_models = {*record.models, *record.staged_models, record.last_model} - {None, model}
    return _join_cost(record, model), len(held_models), record.endpoint_id


def _join_cost(record, model):
    """Return 0 if the engine still holds the model, 1 if its host does, and 2 otherwise."""
    if model in record.models or record.last_model == model:
        return 0
    return 1 if model in record.staged_models else 2


def count_preloaded(records, model):
    """Return how many engines can join a group of the model without loading weights."""
    return sum(not needs_load(record, model) for record in records)


def needs_load(record, model):
    """Return whether the engine must load the model from the weight store to serve it."""
    return _join_cost(record, model) == 2
