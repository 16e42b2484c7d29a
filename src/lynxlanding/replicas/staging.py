"""Chooses the models that are loaded onto the hosts of engines ahead of need."""

from lynxlanding.replicas import engine_order, placement


def orders(engine, records, planned, counts):
    """Return the orders that make engines ready for another model.

    Parameters
    ----------
    engine : EngineSpec
        Models.
    records : list of EndpointRecord
        Engines without a load in progress.
    planned : dict of str to int
        Groups of the domain by model.
    counts : FleetCounts
        The fleet.
    """
    stage_orders = []
    for record in records:
        if counts.is_before_traffic and record.last_model is None:
            # The engine joins a group first, and its load would replace what was staged.
            continue
        model = _choose(engine, record, planned, counts)
        if model is not None:
            stage_orders.append(
                engine_order.EngineOrder(engine_order.STAGE, record.endpoint_id, model=model)
            )
    return stage_orders


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
