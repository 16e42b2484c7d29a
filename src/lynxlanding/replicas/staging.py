"""Chooses the models that engines load onto their hosts before a group needs them."""

from lynxlanding.replicas import engine_order, placement


def first_model_orders(engine_spec, free, planned, fleet_state):
    """Return the orders that stage a first model on engines that hold none.

    Models are assigned so that the engines complete whole groups: an engine without enough partners
    for its model serves no requests. What remains are spares, which replace lost members of the
    domain's groups.

    Parameters
    ----------
    engine_spec : EngineSpec
        Models to choose from.
    free : list of EndpointRecord
        Engines of the domain that are in no group.
    planned : dict of str to int
        Number of groups of the domain by model.
    fleet_state : FleetState
        State of the whole fleet, including the loads in progress.
    """
    if fleet_state.is_before_traffic and not any(planned.values()):
        # The engines join a group first, and its load would replace the staged model.
        return []
    waiting = []
    for record in free:
        if has_no_model(record) and record.endpoint_id not in fleet_state.loads_in_progress:
            waiting.append(record)
    planned = dict(planned)
    engines_by_model = _count_engines_by_model(engine_spec, free, fleet_state)
    orders = []
    while waiting:
        model, count = _choose_first_model(
            engine_spec, engines_by_model, len(waiting), planned, fleet_state
        )
        if model is None:
            model, count = _choose_spare_model(engine_spec, engines_by_model, planned), 1
        for record in waiting[:count]:
            orders.append(_stage_order(record, model.name))
        del waiting[:count]
        engines_by_model[model.name] += count
        if engines_by_model[model.name] % model.engines_per_group == 0:
            planned[model.name] = planned.get(model.name, 0) + 1
    return orders


def additional_model_orders(engine_spec, records, planned, fleet_state):
    """Return the orders that stage an additional model on engines that hold one.

    Parameters
    ----------
    engine_spec : EngineSpec
        Models to choose from.
    records : list of EndpointRecord
        Engines that hold a model already.
    planned : dict of str to int
        Number of groups of the domain by model.
    fleet_state : FleetState
        State of the whole fleet.
    """
    orders = []
    for record in records:
        if fleet_state.is_before_traffic and record.last_model is None:
            # The engine joins a group first, and its load would replace the staged model.
            continue
        if record.endpoint_id in fleet_state.loads_in_progress:
            continue
        model = _choose_additional_model(engine_spec, record, planned, fleet_state)
        if model is not None:
            orders.append(_stage_order(record, model))
    return orders


def has_no_model(record):
    """Return whether an engine holds no model and must load one before it joins any group."""
    return record.last_model is None and not record.models and not record.staged_models


def _stage_order(record, model):
    return engine_order.EngineOrder(engine_order.STAGE, record.endpoint_id, model=model)


def _count_engines_by_model(engine_spec, free, fleet_state):
    """Return the number of free engines that hold or load each model."""
    engines_by_model = {}
    for name in engine_spec.models:
        engines_by_model[name] = 0
        for record in free:
            is_loading = fleet_state.loads_in_progress.get(record.endpoint_id) == name
            engines_by_model[name] += is_loading or not placement.needs_load(record, name)
    return engines_by_model


def _choose_first_model(engine_spec, engines_by_model, waiting, planned, fleet_state):
    """Return the model to stage next and the number of engines that complete a group of it.

    The model is None if the waiting engines complete no group.
    """
    for model in placement.rank_by_coverage(engine_spec.models.values(), planned, fleet_state):
        engines_to_complete = (
            -engines_by_model[model.name] % model.engines_per_group or model.engines_per_group
        )
        if engines_to_complete <= waiting:
            return model, engines_to_complete
    return None, 0


def _choose_spare_model(engine_spec, engines_by_model, planned):
    """Return the model with the fewest spares for each member of the domain's groups."""

    def rank(model):
        members = planned.get(model.name, 0) * model.engines_per_group
        return (engines_by_model[model.name] + 1) / max(1, members), -model.engines_per_group

    return min(engine_spec.models.values(), key=rank)


def _choose_additional_model(engine_spec, record, planned, fleet_state):
    """Return the model to stage, or None if the host holds all it can retain."""
    staged_count = 0
    candidates = []
    for model in engine_spec.models.values():
        if model.name == record.last_model:
            continue
        if model.name in record.staged_models:
            staged_count += 1
            continue
        candidates.append(model)
    if not candidates or staged_count >= engine_spec.retained_models:
        return None
    # Prefer the model with the lowest coverage; on a tie the larger one, since it needs more
    # engines at once.
    return placement.rank_by_coverage(candidates, planned, fleet_state)[0].name
