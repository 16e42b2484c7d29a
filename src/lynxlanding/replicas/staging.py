"""Chooses the models that are loaded onto the hosts of engines ahead of need."""

from lynxlanding.replicas import engine_order, placement


def first_orders(engine, free, planned, counts):
    """Return the orders that give engines without any model their first one.

    Engines are filled up to whole groups: one that waits for a partner of its model serves nobody.

    Parameters
    ----------
    engine : EngineSpec
        Models.
    free : list of EndpointRecord
        Engines of the domain that are in no group.
    planned : dict of str to int
        Groups of the domain by model.
    counts : FleetCounts
        The fleet, with the loads under way.
    """
    if counts.is_before_traffic:
        # They join a group first, and its load would replace what was staged.
        return []
    waiting = []
    for record in free:
        if is_blank(record) and record.endpoint_id not in counts.loading:
            waiting.append(record)
    planned = dict(planned)
    held = _held_by_model(engine, free, counts)
    stage_orders = []
    while waiting:
        model, number = _next_first(engine, held, len(waiting), planned, counts)
        for record in waiting[:number]:
            stage_orders.append(_order(record, model.name))
        del waiting[:number]
        held[model.name] += number
        planned[model.name] = planned.get(model.name, 0) + 1
    return stage_orders


def orders(engine, records, planned, counts):
    """Return the orders that make engines ready for another model.

    Parameters
    ----------
    engine : EngineSpec
        Models.
    records : list of EndpointRecord
        Engines that hold a model.
    planned : dict of str to int
        Groups of the domain by model.
    counts : FleetCounts
        Needs of the fleet.
    """
    stage_orders = []
    for record in records:
        if counts.is_before_traffic and record.last_model is None:
            # The engine joins a group first, and its load would replace what was staged.
            continue
        if record.endpoint_id in counts.loading:
            continue
        model = _choose(engine, record, planned, counts)
        if model is not None:
            stage_orders.append(_order(record, model))
    return stage_orders


def is_blank(record):
    """Return whether an engine needs a load before it can join any group."""
    return record.last_model is None and not record.models and not record.staged_models


def _order(record, model):
    return engine_order.EngineOrder(engine_order.STAGE, record.endpoint_id, model=model)


def _held_by_model(engine, free, counts):
    """Return the free engines that hold or load each model."""
    held = {}
    for name in engine.models:
        held[name] = 0
        for record in free:
            is_loading = counts.loading.get(record.endpoint_id) == name
            held[name] += is_loading or not placement.needs_load(record, name)
    return held


def _next_first(engine, held, waiting, planned, counts):
    """Return the model to load next and the number of engines that load it."""
    ranked = sorted(
        engine.models.values(),
        key=lambda model: (placement.cover(model.name, planned, counts), -model.size),
    )
    for model in ranked:
        missing = -held[model.name] % model.size or model.size
        if missing <= waiting:
            return model, missing
    return ranked[0], waiting


def _choose(engine, record, planned, counts):
    """Return the model to stage, or None where the host holds what it can."""
    useful = 0
    missing = []
    for model in engine.models.values():
        if model.name == record.last_model:
            continue
        if model.name in record.staged_models:
            useful += 1
            continue
        missing.append(model)
    if not missing or useful >= engine.retained_models:
        return None
    # The model that lacks groups most; the larger one of two, as it needs more engines at once.
    missing.sort(key=lambda model: (placement.cover(model.name, planned, counts), -model.size))
    return missing[0].name
