"""Chooses the groups that a fabric domain forms from its free engines."""

import dataclasses
import math

# Part of a domain's engines that is kept as spares once every model has what it needs.
SPARE_PART = 0.2
# Groups are formed beyond the need up to this multiple, as long as enough spares are left.
MAX_COVER = 2.0
# The last spares are used when a model has less than this part of the groups that it needs.
SPARE_COVER = 0.8
# A group of another model is given up for a model below this cover, if its own stays at about 1.
SCARCE_COVER = 0.75
KEPT_COVER = 0.99


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
    """

    needed: dict[str, float]
    elsewhere: dict[str, float]
    domain_part: float
    is_before_traffic: bool = False


def choose_groups(engine, free, planned, counts):
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
    """
    free = list(free)
    planned = dict(planned)
    spares = spare_count(engine, len(free), planned)
    if counts.is_before_traffic and any(record.last_model is None for record in free):
        # Every engine joins a group once, which leaves the model in its memory.
        spares = 0
    chosen = []
    while free:
        model, members = _next_group(engine, free, planned, counts, spares)
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


def choose_surplus(engine, free, planned, counts):
    """Return the model whose groups are to be reduced by one, or None.

    Parameters
    ----------
    engine : EngineSpec
        Models with their sizes.
    free : int
        Engines that are in no group.
    planned : dict of str to int
        Groups of this domain by model.
    counts : FleetCounts
        The fleet.
    """
    scarce = None
    for model in engine.models.values():
        is_scarce = cover(model.name, planned, counts) < SCARCE_COVER and model.size > free
        if is_scarce and (scarce is None or model.size > scarce.size):
            scarce = model
    lacks_spares = counts.is_before_traffic and free < spare_count(engine, free, planned)
    if scarce is None and not lacks_spares:
        return None
    best = None
    for model in sorted(engine.models.values(), key=lambda model: model.size):
        number = planned.get(model.name, 0)
        if model is scarce or not number:
            continue
        if cover(model.name, {**planned, model.name: number - 1}, counts) < KEPT_COVER:
            continue
        if best is None:
            best = model.name
    return best


def _next_group(engine, free, planned, counts, spares):
    """Return the model of the next group and its members, or None and an empty list."""
    # The model that lacks groups most comes first; of two, the larger one, since small groups fit
    # into what is left but not the other way round.
    ranked = sorted(
        engine.models.values(),
        key=lambda model: (cover(model.name, planned, counts), -model.size),
    )
    for model in ranked:
        present = cover(model.name, planned, counts)
        uses_spares = len(free) - model.size < spares
        if present >= MAX_COVER or (present >= SPARE_COVER and uses_spares):
            continue
        members = _choose_members(free, model, counts)
        if len(members) == model.size:
            return model, members
        if counts.is_before_traffic and not any(planned.values()):
            # Engines register one by one; small groups do not take them before a large one.
            return None, []
    return None, []


def cover(name, planned, counts):
    """Return existing over needed groups of a model."""
    needed = max(1e-6, counts.needed.get(name, 1.0))
    here = planned.get(name, 0)
    fleet = (counts.elsewhere.get(name, 0.0) + here) / needed
    # The other domains are expected to do what this one does: all of them plan at the same time.
    local = here / (needed * max(1e-6, counts.domain_part))
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


def needs_load(record, model):
    """Return whether joining a group of the model loads weights from the weight store."""
    return _join_cost(record, model) == 2
