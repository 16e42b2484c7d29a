"""What the planner leaves alone while data centres are evacuated.

Pattern: engines of a data centre get no requests for a time, and their groups are needed again
afterwards. Dissolved groups would form anew only after seconds, and loads take many.
"""

import dataclasses

from lynxlanding.replicas import group_plan, group_state, placement


def is_affected(group, engines, data_centres):
    """Return whether a member of a planned group is in one of the data centres.

    Parameters
    ----------
    group : GroupPlan
        The group.
    engines : dict of str to EngineView
        Engines of the domain by id.
    data_centres : frozenset of str
        Evacuated data centres.
    """
    if not data_centres:
        return False
    return any(is_evacuated(engines.get(member), data_centres) for member in group.members)


def is_evacuated(view, data_centres):
    """Return whether the engine of an ``EngineView`` or None is in one of the data centres."""
    if view is None or view.record is None:
        return False
    return view.record.data_centre in data_centres


def count_serving_heads(records, models, model_from_name, data_centres):
    """Return the number of groups that may serve, by model.

    Parameters
    ----------
    records : iterable of EndpointRecord
        Engines of one fabric domain.
    models : collection of str
        Models that count.
    model_from_name : callable
        Returns the model in a group's name, or None.
    data_centres : frozenset of str
        Evacuated data centres; groups with a member there do not count.
    """
    heads = []
    affected = set()
    for record in records:
        membership = record.membership
        if membership is None:
            continue
        key = (membership.name, membership.epoch)
        if record.data_centre in data_centres:
            affected.add(key)
        if membership.is_head and membership.state != "broken":
            heads.append((key, model_from_name(membership.name)))
    counts = {}
    for key, model in heads:
        if key not in affected and model in models:
            counts[model] = counts.get(model, 0.0) + 1.0
    return counts


def overlook_silence(group, engines, data_centres):
    """Return the views in which silent members of a serving group in a data centre count as sound.

    The group gets no requests, and no other group could use its engines.
    """
    if group.phase != group_plan.SERVING or not is_affected(group, engines, data_centres):
        return engines
    counted = dict(engines)
    for member in group.members:
        if is_evacuated(engines.get(member), data_centres):
            counted[member] = dataclasses.replace(engines[member], is_silent=False)
    return counted


def find_problem(group, engines, fleet_state):
    """Return the reason why an evacuation keeps a forming group from becoming ready, or None.

    Its members do not load weights in an evacuated data centre unless they had begun before.
    """
    if group.phase != group_plan.FORMING:
        return None
    for member in group.members:
        view = engines.get(member)
        if not is_evacuated(view, fleet_state.evacuated) or group_state.is_member(group, view):
            continue
        if fleet_state.loads_in_progress.get(member, "") in (group.model, None):
            continue
        if placement.needs_load(view.record, group.model):
            return f"{member} is in an evacuated data centre and would load weights"
    return None
