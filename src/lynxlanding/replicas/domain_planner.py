"""Plans the replica groups of one fabric domain and the orders that carry out the plan."""

import dataclasses

import xxhash

from lynxlanding.fleet import group_membership
from lynxlanding.replicas import (
    evacuation_rules,
    group_orders,
    group_plan,
    group_state,
    placement,
    regrouping,
    reported_groups,
    staging,
)

# A forming group is retired if its members are not ready within the load time of its model times
# this factor, plus the slack.
FORMING_TIMEOUT_FACTOR = 3.0
FORMING_TIMEOUT_SLACK_S = 4.0
# A shortage of groups must last for this delay before serving groups are retired for it, since
# another domain may be forming the missing group already. The delay of a domain is extended by a
# part of the spread that depends on its name.
SHORTAGE_DELAY_S = 0.3
SHORTAGE_DELAY_SPREAD_S = 1.5


@dataclasses.dataclass(slots=True, frozen=True)
class PlanningStep:
    """Result of one planning step.

    Parameters
    ----------
    plan : DomainPlan or None
        New plan, to be stored before any order is sent; None if the stored plan is unchanged.
    orders : list of EngineOrder
        Orders that carry out the stored plan.
    background_orders : list of EngineOrder
        Orders that can wait: they only stage an additional model.
    reasons : list of str
        Reasons for the changes to the plan.
    """

    plan: group_plan.DomainPlan | None
    orders: list
    background_orders: list
    reasons: list


class DomainPlanner:
    """Planner of one fabric domain; performs no I/O.

    Orders follow from the stored plan only: a group is formed, opened or dissolved only after the
    change was stored by a conditional update, and an engine is ordered to join a group only after
    the plan no longer has its previous one, which all reachable members have left. Concurrent
    planners therefore at most repeat each other's orders, and an engine rejects an order that
    arrives late because it has seen a higher epoch.

    A group's head that has failed cannot be distinguished from one that is isolated by the network.
    The other members leave the group before they are used again, so that an isolated head makes no
    progress without them.

    Parameters
    ----------
    domain : str
        Name of the fabric domain.
    """

    def __init__(self, domain):
        self._domain = domain
        self._forming_since = {}
        self._shortage_since = None
        # Domains that see the same shortage must not all act on it at once.
        spread = xxhash.xxh32_intdigest(domain) / 2**32
        self._shortage_delay_s = SHORTAGE_DELAY_S + spread * SHORTAGE_DELAY_SPREAD_S

    def step(self, plan, engine_spec, engines, fleet_state, now):
        """Return the next ``PlanningStep``.

        Parameters
        ----------
        plan : DomainPlan
            Stored plan.
        engine_spec : EngineSpec
            Models of the engines and their load times.
        engines : dict of str to EngineView
            Engines of the domain by id, including members of planned groups that are gone.
        fleet_state : FleetState
            State of the whole fleet.
        now : float
            Monotonic seconds.
        """
        reasons = []
        groups = []
        for group in plan.groups:
            groups.extend(
                self._update_group(group, engine_spec, engines, fleet_state, reasons, now)
            )
        groups.extend(_take_over_groups(plan, engine_spec, engines, reasons))
        assigned_ids = set()
        planned = {}
        for group in groups:
            if group.phase == group_plan.RETIRING:
                continue
            assigned_ids.update(group.members)
            if not evacuation_rules.is_affected(group, engines, fleet_state.evacuated):
                planned[group.model] = planned.get(group.model, 0) + 1
        free = _keep_outside(_free_records(engines, assigned_ids), fleet_state)
        soon_free = _keep_outside(_soon_free_records(groups, engines, assigned_ids), fleet_state)
        chosen = placement.choose_groups(engine_spec, free, planned, fleet_state, soon_free)
        if not chosen:
            chosen = self._regroup(
                groups, engine_spec, engines, free, planned, fleet_state, reasons, now
            )
        next_epoch = plan.next_epoch
        for model, members in chosen:
            name = group_plan.make_group_name(self._domain, next_epoch, model, members)
            groups.append(
                group_plan.GroupPlan(name, next_epoch, model, members, group_plan.FORMING)
            )
            reasons.append(f"{name}: forming a group for {model} with {len(members)} engines")
            next_epoch += 1
        new_plan = dataclasses.replace(plan, next_epoch=next_epoch, groups=tuple(groups))
        if new_plan != plan:
            return PlanningStep(new_plan, [], [], reasons)
        orders = group_orders.make_orders(plan, engines, assigned_ids)
        orders.extend(staging.first_model_orders(engine_spec, free, planned, fleet_state))
        # Free engines come first, because new groups are formed from them.
        staging_candidates = [record for record in free if not staging.has_no_model(record)]
        staging_candidates.extend(_keep_outside(_serving_members(groups, engines), fleet_state))
        return PlanningStep(
            None,
            orders,
            staging.additional_model_orders(engine_spec, staging_candidates, planned, fleet_state),
            [],
        )

    def _update_group(self, group, engine_spec, engines, fleet_state, reasons, now):
        """Return the group after its next transition as a list, empty once it is dissolved."""
        if group.phase == group_plan.RETIRING:
            if group_state.is_dissolved(group, engines):
                reasons.append(f"{group.name}: dissolved")
                return []
            return [group]
        counted = evacuation_rules.overlook_silence(group, engines, fleet_state.evacuated)
        problem = self._find_problem(group, engine_spec, counted, now)
        if problem is None:
            problem = evacuation_rules.find_problem(group, engines, fleet_state)
        if problem is not None:
            self._forming_since.pop(group.name, None)
            reasons.append(f"{group.name}: {problem}")
            return [group.with_phase(group_plan.RETIRING)]
        if group.phase == group_plan.FORMING and group_state.is_ready(group, engines):
            self._forming_since.pop(group.name, None)
            reasons.append(f"{group.name}: all members are ready")
            return [group.with_phase(group_plan.SERVING)]
        return [group]

    def _find_problem(self, group, engine_spec, engines, now):
        """Return the reason why a group must be retired, or None."""
        if group.model not in engine_spec.models:
            return "its model is no longer served"
        for member in group.members:
            view = engines.get(member)
            if view is None or not view.is_present:
                return f"{member} is gone"
            if view.is_silent:
                return f"{member} is silent"
            if view.record.is_leaving:
                return f"{member} is leaving"
            membership = view.record.membership
            if group.phase != group_plan.SERVING:
                continue
            if membership is None or not membership.belongs_to(group.name, group.epoch):
                return f"{member} is no longer a member"
            if membership.state == group_membership.BROKEN:
                return f"{member} is broken"
        if group.phase == group_plan.FORMING:
            since = self._forming_since.setdefault(group.name, now)
            limit_s = (
                FORMING_TIMEOUT_FACTOR * engine_spec.models[group.model].load_s
                + FORMING_TIMEOUT_SLACK_S
            )
            if now - since > limit_s:
                return "its members were not ready in time"
        return None

    def _regroup(self, groups, engine_spec, engines, free, planned, fleet_state, reasons, now):
        """Retire groups whose engines are needed as spares or for a scarce model.

        Returns the model and the members of each group that is formed from them.
        """
        serving = []
        for index, group in enumerate(groups):
            if group.phase != group_plan.SERVING:
                # The engines of forming and retiring groups will be counted shortly.
                return ()
            if evacuation_rules.is_affected(group, engines, fleet_state.evacuated):
                # It stays, because it is needed again after the evacuation.
                continue
            records = [engines[member].record for member in group.members]
            serving.append((index, group.model, records))
        if fleet_state.is_before_traffic:
            self._provide_spares(
                groups, engine_spec, engines, free, planned, fleet_state, serving, reasons
            )
            return ()
        change = regrouping.choose(engine_spec, free, planned, fleet_state, serving)
        if not change.retired:
            self._shortage_since = None
            return ()
        if self._shortage_since is None:
            self._shortage_since = now
        if now - self._shortage_since < self._shortage_delay_s:
            return ()
        self._shortage_since = None
        for index in change.retired:
            self._retire(groups, index, reasons)
        return change.formed

    def _provide_spares(
        self, groups, engine_spec, engines, free, planned, fleet_state, serving, reasons
    ):
        """Retire a group before traffic if its engines are needed as spares."""
        members = _keep_outside(_serving_members(groups, engines), fleet_state)
        if staging.additional_model_orders(engine_spec, members, planned, fleet_state):
            return
        index = placement.choose_group_for_spares(engine_spec, free, planned, fleet_state, serving)
        if index is not None:
            self._retire(groups, index, reasons)

    def _retire(self, groups, index, reasons):
        group = groups[index]
        groups[index] = group.with_phase(group_plan.RETIRING)
        reasons.append(f"{group.name}: its engines are needed as spares or for another model")


def _take_over_groups(plan, engine_spec, engines, reasons):
    """Return the groups that work on although the plan no longer has them.

    A group whose members were all silent is dissolved without orders. If they had only paused, it
    serves again, and ordering its members to leave would cut its streams.
    """
    taken_over = []
    for (name, epoch), members_by_rank in sorted(reported_groups.collect(engines).items()):
        if epoch >= plan.next_epoch:
            continue
        group = reported_groups.find_standing(name, epoch, members_by_rank, engines, engine_spec)
        if group is None or any(plan.find(member) is not None for member in group.members):
            continue
        state = engines[group.head].record.membership.state
        if state not in (group_membership.OPEN, group_membership.CLOSING):
            continue
        if not group_state.is_complete(group, engines):
            continue
        reasons.append(f"{name}: stands with all members, taken over")
        taken_over.append(group)
    return taken_over


def _keep_outside(records, fleet_state):
    """Return the records of the engines that are in no evacuated data centre."""
    if not fleet_state.evacuated:
        return records
    return [record for record in records if record.data_centre not in fleet_state.evacuated]


def _free_records(engines, assigned_ids):
    free = []
    for endpoint_id, view in sorted(engines.items()):
        if endpoint_id in assigned_ids or not view.is_usable:
            continue
        if view.record.membership is None:
            free.append(view.record)
    return free


def _soon_free_records(groups, engines, assigned_ids):
    """Return the engines that will be free once the retiring groups are dissolved.

    Engines that are assigned to the next group already are left out.
    """
    soon_free = []
    for group in groups:
        if group.phase != group_plan.RETIRING:
            continue
        for member in group.members:
            view = engines.get(member)
            if member in assigned_ids or view is None:
                continue
            if view.is_usable and group_state.is_member(group, view):
                soon_free.append(view.record)
    return soon_free


def _serving_members(groups, engines):
    """Return the member records of serving groups.

    Members of forming groups are left out, because their load would replace a staged model.
    """
    records = []
    for group in groups:
        if group.phase != group_plan.SERVING:
            continue
        for member in group.members:
            records.append(engines[member].record)
    return records
