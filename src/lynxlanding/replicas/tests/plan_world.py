"""A fabric domain whose engines follow orders, for tests of the planner."""

import dataclasses

from lynxlanding.fleet import endpoint_record, group_membership
from lynxlanding.replicas import (
    domain_planner,
    engine_order,
    engine_view,
    group_plan,
    placement,
    staging,
)
from lynxlanding.traffic import service_spec

STALL_S = 5.0


def engine_spec(loads_at_once=7):
    """Return engines with a model of four engines and one of two."""
    return service_spec.EngineSpec(
        slots=9,
        kv_capacity_tokens=900_000,
        stride=5,
        step_s=0.0078,
        step_per_sequence_s=0.00018,
        step_per_context_token_s=1.8e-8,
        prefill_tokens_per_s=45_900.0,
        prefill_pair_s=4.3e-10,
        chunk_tokens=2048,
        loads_per_s=5.0,
        loads_at_once=loads_at_once,
        retained_models=1,
        form_s=0.3,
        usual_prompt_tokens=979,
        usual_answer_tokens=154,
        models={
            "large": service_spec.ModelSpec("large", 4, 0.5, 1.0, 16.0, 1.6),
            "small": service_spec.ModelSpec("small", 2, 0.5, 0.6, 12.0, 1.1),
        },
    )


def record(endpoint_id, last_model=None, staged=(), membership=None, leaving=False, born_ms=1):
    """Return the registration of an engine."""
    return endpoint_record.EndpointRecord(
        endpoint_id=endpoint_id,
        service="model",
        address=f"127.0.0.1:{1000 + int(endpoint_id[1:])}",
        data_centre="a",
        slots=9,
        is_leaving=leaving,
        born_ms=born_ms,
        orders_accepted=0,
        fabric_domain="d0",
        models=(last_model,) if membership is not None and last_model else (),
        staged_models=tuple(staged),
        membership=membership,
        last_model=last_model,
    )


def counts(large=1.0, small=2.0, before_traffic=False, elsewhere=None, part=1.0):
    """Return what the fleet needs."""
    return placement.FleetCounts(
        {"large": large, "small": small}, elsewhere or {}, part, before_traffic
    )


@dataclasses.dataclass(slots=True)
class Engine:
    """An engine that obeys the protocol of groups.

    Attributes
    ----------
    group : tuple or None
        Name, epoch and members.
    seen_epoch : int
        Highest epoch of a join in this life.
    """

    endpoint_id: str
    is_alive: bool = True
    is_cut: bool = False
    born_ms: int = 1
    group: tuple | None = None
    state: str = ""
    model: str | None = None
    last_model: str | None = None
    ready_at: float = 0.0
    seen_epoch: int = 0


class World:
    """Engines, orders in the air and the checks of the two promises about groups.

    Parameters
    ----------
    engines : int
        Engines of the domain.
    random_state : random.Random
        Draws losses of answers and delays.
    """

    def __init__(self, engines, random_state):
        self.random_state = random_state
        self.spec = engine_spec()
        self.now = 0.0
        self.engines = {}
        for number in range(engines):
            endpoint_id = f"e{number}"
            self.engines[endpoint_id] = Engine(endpoint_id)
        self.stored = group_plan.DomainPlan()
        self.version = 0
        self.late_orders = []
        self.violations = []
        self.opened = 0
        # A member that was ready and is lost since excuses its group.
        self.was_ready = set()

    def order(self, order, delay_s=0.0):
        """Carry out an order now or later."""
        if delay_s > 0:
            self.late_orders.append((self.now + delay_s, order))
            return
        engine = self.engines[order.endpoint_id]
        if not engine.is_alive:
            return
        if order.kind == engine_order.JOIN:
            self._join(engine, order)
        elif engine.group is not None and engine.group[:2] == (order.group, order.epoch):
            self._change(engine, order)

    def advance(self, seconds):
        """Let time pass; late orders arrive and loads end."""
        self.now += seconds
        due = [item for item in self.late_orders if item[0] <= self.now]
        self.late_orders = [item for item in self.late_orders if item[0] > self.now]
        for _, order in due:
            self.order(order)
        for engine in self.engines.values():
            if engine.state == group_membership.JOINING and self.now >= engine.ready_at:
                engine.state = group_membership.READY
                engine.last_model = engine.model
                self.was_ready.add((engine.endpoint_id, engine.group))

    def restart(self, endpoint_id):
        """Kill and restart an engine under the same id."""
        engine = self.engines[endpoint_id]
        self.engines[endpoint_id] = Engine(endpoint_id, born_ms=engine.born_ms + 1)

    def views(self):
        """Return what a planner sees of the engines, as the store has it."""
        views = {}
        for endpoint_id, engine in self.engines.items():
            if not engine.is_alive or engine.is_cut:
                continue
            held = None
            if engine.group is not None:
                name, epoch, members = engine.group
                held = group_membership.GroupMembership(
                    name, epoch, members.index(endpoint_id), engine.state
                )
            views[endpoint_id] = engine_view.EngineView(
                record(
                    endpoint_id,
                    engine.last_model,
                    ("large", "small"),
                    held,
                    born_ms=engine.born_ms,
                ),
                True,
                False,
            )
        return views

    def with_planned(self, views, plan):
        """Add the planned engines that are gone."""
        views = dict(views)
        for group in plan.groups:
            for member in group.members:
                if member not in views:
                    views[member] = engine_view.EngineView(None, False, False)
        return views

    def store(self, plan, version):
        """Store a plan by a conditional update; return the new version or None."""
        if version != self.version:
            return None
        self.version += 1
        self.stored = plan
        return self.version

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
                self.violations.append(f"{engine.endpoint_id} joins while its head is open")
        engine.seen_epoch = order.epoch
        engine.group = target
        engine.model = order.model
        engine.state = group_membership.JOINING
        engine.ready_at = self.now + (0.2 if engine.last_model == order.model else 1.6)

    def _change(self, engine, order):
        if order.kind == engine_order.LEAVE:
            engine.group = None
            engine.state = ""
        elif order.kind == engine_order.OPEN and engine.state == group_membership.READY:
            engine.state = group_membership.OPEN
            self.opened += 1
            for member in engine.group[2]:
                if (member, engine.group) not in self.was_ready:
                    self.violations.append(f"{order.group} opens without {member}")
        elif order.kind == engine_order.CLOSE and engine.state == group_membership.OPEN:
            engine.state = group_membership.READY


class Planner:
    """A planner with its own, possibly old, knowledge."""

    def __init__(self, world):
        self.world = world
        self.planner = domain_planner.DomainPlanner("d0")
        self.plan = world.stored
        self.version = world.version
        self.views = world.views()

    def look(self):
        """Read the plan and the engines."""
        self.plan = self.world.stored
        self.version = self.world.version
        self.views = self.world.views()

    def act(self, needs, lose_answer=False):
        """Take one step; return the orders to be sent."""
        world = self.world
        views = world.with_planned(self.views, self.plan)
        step = self.planner.step(self.plan, world.spec, views, needs, world.now)
        if step.plan is not None:
            version = world.store(step.plan, self.version)
            if version is None or lose_answer:
                self.look()
                return []
            self.plan = step.plan
            self.version = version
            views = world.with_planned(self.views, self.plan)
            step = self.planner.step(self.plan, world.spec, views, needs, world.now)
        return [*step.orders, *step.background] if step.plan is None else []


def join_at_once(group, engines):
    """Return join orders without those to leave first; a fault to be found."""
    del engines
    orders = []
    for member in group.members:
        orders.append(
            engine_order.EngineOrder(
                engine_order.JOIN, member, group.name, group.epoch, group.model, group.members
            )
        )
    return orders


def all_usable(engines, used):
    """Return also engines that have not left their groups; a fault to be found."""
    free = []
    for endpoint_id, view in sorted(engines.items()):
        if endpoint_id not in used and view.is_usable:
            free.append(view.record)
    return free


__all__ = [
    "Planner",
    "World",
    "all_usable",
    "counts",
    "engine_spec",
    "join_at_once",
    "record",
    "staging",
]
