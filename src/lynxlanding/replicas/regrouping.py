"""Chooses the groups of a fabric domain to retire together with those that replace them."""

import dataclasses

from lynxlanding.replicas import placement

# A scarce model may take the engines of other models' groups, as long as the coverage of those
# models stays at or above this and that of the scarce model.
MIN_DONOR_COVERAGE = 0.65


@dataclasses.dataclass(slots=True, frozen=True)
class Regrouping:
    """Groups to retire and the groups that are formed from their engines and free ones.

    Both are decided together: of engines that are freed first and assigned later, the changed needs
    of the meantime could form the retired groups again.

    Parameters
    ----------
    retired : tuple of int
        Indices of the groups to retire.
    formed : tuple of (str, tuple of str)
        Model and member ids of each group to form; the first one is that of the scarce model.
    """

    retired: tuple = ()
    formed: tuple = ()


def choose(engine_spec, free, planned, fleet_state, groups):
    """Return the ``Regrouping`` for the scarcest model that gains a group, or an empty one.

    All members of the groups to form hold the model, so that none waits for a load.

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
    for scarce in placement.rank_by_coverage(engine_spec.models.values(), planned, fleet_state):
        if placement.coverage(scarce.name, planned, fleet_state) >= placement.SCARCE_COVERAGE:
            break
        best = None
        for donors in _donor_sets(scarce, groups):
            candidate = _try_donors(engine_spec, free, planned, fleet_state, scarce, donors)
            if candidate is not None and (best is None or candidate[0] < best[0]):
                best = candidate
        if best is not None:
            return best[1]
    return Regrouping()


def _donor_sets(scarce, groups):
    """Return the sets of groups to try: each alone, then the best ones together."""
    donors = []
    for group in groups:
        _, model, records = group
        if model == scarce.name:
            continue
        holders = placement.count_preloaded(records, scarce.name)
        if holders:
            donors.append((holders, group))
    donors.sort(key=lambda item: (-item[0], item[1][0]))
    ordered = [group for _, group in donors]
    sets = [[group] for group in ordered]
    for count in range(2, len(ordered) + 1):
        sets.append(ordered[:count])
    return sets


def _try_donors(engine_spec, free, planned, fleet_state, scarce, donors):
    """Return the rank and the ``Regrouping`` with these donors, or None if it is not worth it."""
    pool = list(free)
    remaining = dict(planned)
    for _, model, records in donors:
        pool.extend(records)
        remaining[model] -= 1
    formed = []
    if not _form(pool, scarce, remaining, formed):
        return None
    for name in sorted({model for _, model, _ in donors}):
        while remaining[name] < planned[name]:
            if not _form(pool, engine_spec.models[name], remaining, formed):
                break
    lost_groups = 0
    scarce_coverage = placement.coverage(scarce.name, planned, fleet_state)
    for name in {model for _, model, _ in donors}:
        if remaining[name] >= planned[name]:
            continue
        lost_groups += planned[name] - remaining[name]
        donor_coverage = placement.coverage(name, remaining, fleet_state)
        if donor_coverage < max(MIN_DONOR_COVERAGE, scarce_coverage):
            return None
    retired = tuple(index for index, _, _ in donors)
    return (lost_groups, len(donors)), Regrouping(retired, tuple(formed))


def _form(pool, model, remaining, formed):
    """Move the members of another group from the pool; return whether there were enough."""
    holders = []
    for record in pool:
        if not placement.needs_load(record, model.name):
            holders.append(record)
    if len(holders) < model.engines_per_group:
        return False
    holders.sort(key=lambda record: placement.member_rank(record, model.name))
    members = holders[: model.engines_per_group]
    for record in members:
        pool.remove(record)
    remaining[model.name] = remaining.get(model.name, 0) + 1
    formed.append((model.name, tuple(record.endpoint_id for record in members)))
    return True
