"""Simulation of a fabric domain whose engines carry out orders, for tests of the planner."""

import dataclasses

from lynxlanding.fleet import endpoint_record, group_membership
from lynxlanding.replicas import (
    domain_planner,
    engine_order,
    engine_report,
    engine_view,
    group_controller,
    group_plan,
    placement,
    plan_recovery,
    staging,
)
from lynxlanding.traffic import service_spec

STALL_S = 5.0


def make_engine_spec(max_concurrent_loads=7):
    """Return a specification with a model on four engines and one on two."""
    return service_spec.EngineSpec(
        slots=9,
        kv_capacity_tokens=900_000,
        steps_per_pass=5,
        step_s=0.0078,
        step_per_sequence_s=0.00018,
        step_per_context_token_s=1.8e-8,
        prefill_tokens_per_s=45_900.0,
        prefill_per_pair_s=4.3e-10,
        chunk_tokens=2048,
        loads_per_s=5.0,
        max_concurrent_loads=max_concurrent_loads,
        retained_models=1,
        formation_s=0.3,
        mean_prompt_tokens=979,
        mean_answer_tokens=154,
        models={
            "large": service_spec.ModelSpec("large", 4, 0.5, 1.0, 16.0, 1.6),
            "small": service_spec.ModelSpec("small", 2, 0.5, 0.6, 12.0, 1.1),
        },
    )


def engine_record(
    endpoint_id, last_model=None, staged=(), membership=None, is_leaving=False, started_ms=1
):
    """Return the registration of an engine."""
    return endpoint_record.EndpointRecord(
        endpoint_id=endpoint_id,
        service="model",
        address=f"127.0.0.1:{1000 + int(endpoint_id[1:])}",
        data_centre="a",
        slots=9,
        is_leaving=is_leaving,
        started_ms=started_ms,
        heartbeat_number=0,
        fabric_domain="d0",
        models=(last_model,) if membership is not None and last_model else (),
        staged_models=tuple(staged),
        membership=membership,
        last_model=last_model,
    )


def make_fleet_state(
    large=1.0, small=2.0, is_before_traffic=False, groups_elsewhere=None, domain_share=1.0
):
    """Return the state of a fleet that needs these numbers of groups."""
    return placement.FleetState(
        {"large": large, "small": small}, groups_elsewhere or {}, domain_share, is_before_traffic
    )


@dataclasses.dataclass(slots=True)
class SimulatedEngine:
    """Simulated engine that follows the replica group protocol.

    Attributes
    ----------
    is_partitioned : bool
        Whether the engine is isolated from the store and the nodes, but not from other engines.
    group : tuple or None
        Name, epoch and members of the engine's group.
    seen_epoch : int
        Highest epoch that this incarnation has joined.
    accepted_orders : int
        Number of orders that this incarnation has accepted.
    """

    endpoint_id: str
    is_alive: bool = True
    is_partitioned: bool = False
    started_ms: int = 1
    group: tuple | None = None
    state: str = ""
    model: str | None = None
    last_model: str | None = None
    ready_at: float = 0.0
    seen_epoch: int = 0
    accepted_orders: int = 0


class SimulatedDomain:
    """Simulated engines, stored plan and delayed orders, with checks of two invariants.

    No engine joins a group while the head of its previous group is open, and no group opens before
    all its members were ready. ``violations`` lists what breaks them.

    Parameters
    ----------
    engines : int
        Number of engines in the domain.
    random_state : random.Random
        Source of randomness of the schedule.
    """

    def __init__(self, engines, random_state):
        self.random_state = random_state
        self.engine_spec = make_engine_spec()
        self.now = 0.0
        self.engines = {}
        for number in range(engines):
            endpoint_id = f"e{number}"
            self.engines[endpoint_id] = SimulatedEngine(endpoint_id)
        self.stored_plan = group_plan.DomainPlan()
        self.version = 0
        self.era = 0
        self._stored_copies = [(self.version, self.stored_plan)]
        self._members_by_group = {}
        self.delayed_orders = []
        self.violations = []
        self.opened_groups = 0
        # A group may open although a member has failed, if that member was ready before.
        self.ready_members = set()

    def deliver_order(self, order, delay_s=0.0):
        """Carry out an order now, or after a delay."""
        if delay_s > 0:
            self.delayed_orders.append((self.now + delay_s, order))
            return
        engine = self.engines[order.endpoint_id]
        if not engine.is_alive:
            return
        if order.expected_orders not in (None, engine.accepted_orders):
            return
        if order.kind == engine_order.JOIN:
            self._join(engine, order)
        elif engine.group is not None and engine.group[:2] == (order.group, order.epoch):
            self._change_state(engine, order)

    def advance(self, seconds):
        """Advance the clock; delayed orders arrive and loads finish."""
        self.now += seconds
        due = [item for item in self.delayed_orders if item[0] <= self.now]
        self.delayed_orders = [item for item in self.delayed_orders if item[0] > self.now]
        for _, order in due:
            self.deliver_order(order)
        for engine in self.engines.values():
            if engine.state == group_membership.JOINING and self.now >= engine.ready_at:
                engine.state = group_membership.READY
                engine.last_model = engine.model
                self.ready_members.add((engine.endpoint_id, engine.group))

    def restart(self, endpoint_id):
        """Kill an engine and restart it with the same id."""
        engine = self.engines[endpoint_id]
        self.engines[endpoint_id] = SimulatedEngine(endpoint_id, started_ms=engine.started_ms + 1)

    def membership(self, endpoint_id):
        """Return the membership that an engine reports, or None."""
        engine = self.engines[endpoint_id]
        if engine.group is None:
            return None
        name, epoch, members = engine.group
        rank = members.index(endpoint_id)
        return group_membership.GroupMembership(name, epoch, rank, engine.state)

    def report(self, endpoint_id):
        """Return the report of an engine."""
        engine = self.engines[endpoint_id]
        return engine_report.EngineReport(
            engine.started_ms,
            self.membership(endpoint_id),
            ("large", "small"),
            0,
            0,
            1.0,
            engine.accepted_orders,
        )

    def views(self):
        """Return the registered engines as a planner sees them."""
        views = {}
        for endpoint_id, engine in self.engines.items():
            if not engine.is_alive or engine.is_partitioned:
                continue
            record = engine_record(
                endpoint_id,
                engine.last_model,
                ("large", "small"),
                self.membership(endpoint_id),
                started_ms=engine.started_ms,
            )
            views[endpoint_id] = engine_view.EngineView(record, True, False)
        return views

    def add_missing_members(self, views, plan):
        """Return the views with those members of planned groups added that are gone."""
        views = dict(views)
        for group in plan.groups:
            for member in group.members:
                if member not in views:
                    views[member] = engine_view.EngineView(None, False, False)
        return views

    def store_plan(self, plan, version):
        """Store a plan by a conditional update; return the new version, or None on a conflict."""
        if version != self.version:
            return None
        self.version += 1
        self.stored_plan = plan
        self._stored_copies.append((self.version, plan))
        return self.version

    def roll_back(self, writes):
        """Return the store to a copy that lacks the latest writes; versions are given out again."""
        del self._stored_copies[max(1, len(self._stored_copies) - writes) :]
        self.version, self.stored_plan = self._stored_copies[-1]
        self.era += 1

    def _join(self, engine, order):
        if order.epoch < engine.seen_epoch:
            return
        target = (order.group, order.epoch, order.members)
        if engine.group == target:
            return
        if engine.group is not None:
            head = self.engines[engine.group[2][0]]
            is_head_open = head.is_alive and head.group == engine.group and head.state == "open"
            if is_head_open:
                self.violations.append(
                    f"{engine.endpoint_id} joins another group while its head is open"
                )
        members = self._members_by_group.setdefault((order.group, order.epoch), order.members)
        if members != order.members:
            self.violations.append(f"{order.group} was given out twice with different members")
        engine.accepted_orders += 1
        engine.seen_epoch = order.epoch
        engine.group = target
        engine.model = order.model
        engine.state = group_membership.JOINING
        engine.ready_at = self.now + (0.2 if engine.last_model == order.model else 1.6)

    def _change_state(self, engine, order):
        if order.kind == engine_order.LEAVE:
            engine.accepted_orders += 1
            engine.group = None
            engine.state = ""
        elif order.kind == engine_order.OPEN and engine.state == group_membership.READY:
            engine.accepted_orders += 1
            engine.state = group_membership.OPEN
            self.opened_groups += 1
            for member in engine.group[2]:
                if (member, engine.group) not in self.ready_members:
                    self.violations.append(f"{order.group} opens before {member} is ready")
        elif order.kind == engine_order.CLOSE and engine.state == group_membership.OPEN:
            engine.accepted_orders += 1
            engine.state = group_membership.READY


class SimulatedPlanner:
    """Planner that acts on its own, possibly outdated, view of the domain."""

    def __init__(self, domain):
        self.domain = domain
        self.planner = domain_planner.DomainPlanner("d0")
        self.plan = domain.stored_plan
        self.version = domain.version
        self.views = domain.views()
        self._era = domain.era
        self._recover_at = None

    def observe(self):
        """Read the stored plan and the registrations."""
        if self.domain.era != self._era:
            self._era = self.domain.era
            self._recover_at = None
        self.plan = self.domain.stored_plan
        self.version = self.domain.version
        self.views = self.domain.views()

    def act(self, fleet_state, lose_answer=False):
        """Run one planning step; return the orders to send.

        ``lose_answer`` drops the store's response to the update of the plan.
        """
        domain = self.domain
        views = domain.add_missing_members(self.views, self.plan)
        if self.plan.era != self._era:
            self._recover(views)
            return []
        step = self.planner.step(self.plan, domain.engine_spec, views, fleet_state, domain.now)
        if step.plan is not None:
            version = domain.store_plan(step.plan, self.version)
            if version is None or lose_answer:
                self.observe()
                return []
            self.plan = step.plan
            self.version = version
            views = domain.add_missing_members(self.views, self.plan)
            step = self.planner.step(self.plan, domain.engine_spec, views, fleet_state, domain.now)
        return [*step.orders, *step.background_orders] if step.plan is None else []

    def _recover(self, views):
        """Recover the plan once the engines have had time to register again."""
        domain = self.domain
        if self._recover_at is None:
            self._recover_at = domain.now + group_controller.RECOVERY_DELAY_S
        if domain.now < self._recover_at:
            return
        recovered = plan_recovery.recover(self.plan, domain.engine_spec, views, self._era)
        domain.store_plan(recovered.plan, self.version)
        self._recover_at = None
        self.observe()


def run_round(domain, planners, fleet_state, mutate=None):
    """Let each planner act once; responses are lost and orders delayed at random."""
    random_state = domain.random_state
    for planner in planners:
        # A planner that does not observe the domain acts on its previous view.
        if random_state.random() < 0.7:
            planner.observe()
        lose_answer = random_state.random() < 0.1
        for order in planner.act(fleet_state, lose_answer):
            if domain.engines[order.endpoint_id].is_partitioned:
                continue
            delay_s = random_state.uniform(0.5, 6.0) if random_state.random() < 0.1 else 0.0
            domain.deliver_order(mutate(order) if mutate else order, delay_s)
    domain.advance(random_state.uniform(0.05, 0.6))


def join_without_leaving(group, engines, retiring):
    """Return join orders for all members, without leave orders; a fault that tests must detect."""
    del engines, retiring
    orders = []
    for member in group.members:
        orders.append(
            engine_order.EngineOrder(
                engine_order.JOIN, member, group.name, group.epoch, group.model, group.members
            )
        )
    return orders


def usable_records_with_members(engines, assigned_ids):
    """Return usable engines even if they have not left their groups; a fault that tests detect."""
    free = []
    for endpoint_id, view in sorted(engines.items()):
        if endpoint_id not in assigned_ids and view.is_usable:
            free.append(view.record)
    return free


__all__ = [
    "SimulatedDomain",
    "SimulatedPlanner",
    "engine_record",
    "join_without_leaving",
    "make_engine_spec",
    "make_fleet_state",
    "run_round",
    "staging",
    "usable_records_with_members",
]
