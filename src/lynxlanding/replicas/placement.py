"""Chooses the groups that a fabric domain forms from its free engines."""

import dataclasses
import math

# Part of a domain's engines that is kept as spares once every model has what it needs.
SPARE_PART = 0.2
# Groups are formed beyond the need up to this multiple, as long as enough spares are left.
MAX_COVER = 2.0
# The last spares are used when a model has less than this part of the groups that it needs.
SPARE_COVER = 1.2
# A group of another model is given up for a model below the first cover, as long as its own stays
# above the second one and above that of the scarce model.
SCARCE_COVER = 0.9
DONOR_COVER = 0.65
# Before traffic a group becomes spares while its model stays covered.
KEPT_COVER = 0.9


@dataclasses.dataclass(slots=True, frozen=True)
class FleetCounts:
    """Groups and engines of the whole fleet.

    Parameters
    ----------
    needed : dict of str to float
        Needed groups by model.
    elsewhere : dict of str to float
        Groups of the other domains by model.
    domain_part : float
        Part of the fleet's engines that are in this domain.
    is_before_traffic : bool
        Whether no caller's request has arrived yet.
    loading : dict of str to (str or None)
        Model that each engine loads, as far as known; None if only that it loads one.
    """

    needed: dict[str, float]
    elsewhere: dict[str, float]
    domain_part: float
    is_before_traffic: bool = False
    loading: dict[str, str | None] = dataclasses.field(default_factory=dict)


def choose_groups(engine, free, planned, counts, coming=()):
    """Return the members of the groups to form, as a list of (model, member ids).

    Parameters
    ----------
    engine : EngineSpec
        Models with their sizes.
    free : list of EndpointRecord
        Engines that may be used.
    planned : dict of str to int
        Groups of this domain by model that exist or form already.
    counts : FleetCounts
        The fleet.
    coming : iterable of EndpointRecord
        Engines that are about to leave their groups.
    """
    free = list(free)
    planned = dict(planned)
    spares = spare_count(engine, len(free), planned)
    if counts.is_before_traffic and any(record.last_model is None for record in free):
        # Every engine joins a group once, which leaves the model in its memory.
        spares = 0
    chosen = []
    while free:
        model, members = _next_group(engine, free, planned, counts, spares, coming)
        if model is None:
            return chosen
        for record in members:
            free.remove(record)
        planned[model.name] = planned.get(model.name, 0) + 1
        chosen.append((model.name, tuple(record.endpoint_id for record in members)))
    return chosen


def spare_count(engine, free, planned):
    """Return the number of engines of a domain that are kept as spares."""
    engines = free
    for name, number in planned.items():
        engines += number * engine.models[name].size
    return math.ceil(engines * SPARE_PART)


def choose_surplus(engine, free, planned, counts, groups):
    """Return the groups to give up for a scarce model or as spares.

    Parameters
    ----------
    engine : EngineSpec
        Models with their sizes.
    free : list of EndpointRecord
        Engines that are in no group.
    planned : dict of str to int
        Groups of this domain by model.
    counts : FleetCounts
        The fleet.
    groups : list of tuple
        Serving groups as (index, model, records of the members).
    """
    if counts.is_before_traffic and len(free) < spare_count(engine, len(free), planned):
        for index, model, _ in sorted(groups, key=lambda group: engine.models[group[1]].size):
            if cover(model, {**planned, model: planned[model] - 1}, counts) >= KEPT_COVER:
                return [index]
    for model in sorted(engine.models.values(), key=lambda model: -model.size):
        if cover(model.name, planned, counts) < SCARCE_COVER:
            given_up = _give_up_for(model, free, planned, counts, groups)
            if given_up:
                return given_up
    return []


def _give_up_for(scarce, free, planned, counts, groups):
    """Return the groups whose engines complete a group of the scarce model, or nothing."""
    planned = dict(planned)
    lacking = cover(scarce.name, planned, counts)
    ready = _ready_count(free, scarce.name)
    given_up = []
    for index, model, records in groups:
        if ready >= scarce.size:
            break
        if model == scarce.name:
            continue
        left = planned[model] - 1
        after = cover(model, {**planned, model: left}, counts)
        if after < DONOR_COVER or after < lacking:
            continue
        useful = _ready_count(records, scarce.name)
        if useful:
            planned[model] = left
            ready += useful
            given_up.append(index)
    return given_up if ready >= scarce.size else []


def _next_group(engine, free, planned, counts, spares, coming):
    """Return the model of the next group and its members, or None and an empty list."""
    # The model that lacks groups most comes first; of two, the larger one, since small groups fit
    # into what is left but not the other way round.
    ranked = sorted(
        engine.models.values(),
        key=lambda model: (cover(model.name, planned, counts), -model.size),
    )
    # Before traffic, a group that was given up for its spares must not form again from them.
    spare_cover = KEPT_COVER if counts.is_before_traffic else SPARE_COVER
    is_scarcer_waiting = False
    reserved = set()
    for model in ranked:
        present = cover(model.name, planned, counts)
        uses_spares = len(free) - model.size < spares
        if present >= MAX_COVER or (present >= spare_cover and uses_spares):
            continue
        if is_scarcer_waiting and present >= KEPT_COVER:
            # Its engines would be missing as soon as the scarcer model has enough of them.
            continue
        usable = [record for record in free if record.endpoint_id not in reserved]
        members = _choose_members(usable, model, counts)
        if len(members) == model.size:
            return model, members
        lacking = model.size - len(members)
        if present < SCARCE_COVER and lacking <= _ready_count(coming, model.name):
            # The others of its next group are on their way.
            reserved.update(record.endpoint_id for record in members)
        is_scarcer_waiting = is_scarcer_waiting or present < SCARCE_COVER
        if counts.is_before_traffic and not any(planned.values()):
            # Engines register one by one; small groups do not take them before a large one.
            return None, []
    return None, []


def cover(name, planned, counts):
    """Return existing over needed groups of a model."""
    needed = max(1e-6, counts.needed.get(name, 1.0))
    here = planned.get(name, 0)
    fleet = (counts.elsewhere.get(name, 0.0) + here) / needed
    local = here / (needed * max(1e-6, counts.domain_part))
    if counts.is_before_traffic:
        # Engines register one by one, and every domain takes its part.
        return local
    # The other domains are expected to do what this one does: all of them plan at the same time.
    return max(fleet, local)


def _choose_members(free, model, counts):
    """Return the engines that are ready soonest for a model, fewer if there are not enough."""
    candidates = []
    for record in free:
        # A load takes many times longer than the forming of a group. Under traffic, engines stage
        # their next model while they are free, and the others are not held up meanwhile.
        if counts.is_before_traffic or not needs_load(record, model.name):
            candidates.append(record)
    candidates.sort(key=lambda record: (_join_cost(record, model.name), record.endpoint_id))
    return candidates[: model.size]


def _join_cost(record, model):
    """Return 0 for an engine that still holds the model, 1 if its host does, otherwise 2."""
    if model in record.models or record.last_model == model:
        return 0
    return 1 if model in record.staged_models else 2


def _ready_count(records, model):
    return sum(not needs_load(record, model) for record in records)


def needs_load(record, model):
    """Return whether joining a group of the model loads weights from the weight store."""
    return _join_cost(record, model) == 2
