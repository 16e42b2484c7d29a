"""Routes, engines and dispatchers for tests."""

import random

from lynxlanding.dispatch import choice, cost_model, dispatcher, stall_board
from lynxlanding.fleet import endpoint_record, group_membership, registry
from lynxlanding.replicas.tests import plan_world
from lynxlanding.traffic import limits, route, service_spec, traffic_configuration

RETRY_LIMITS = (0.2, 109.0, 10.0)


def make_route(kind=route.STREAMING, attempts=2, resumable=True, service="model"):
    return route.Route(
        name="r",
        host="h",
        path_prefix="/p/",
        kind=kind,
        timeout_s=6.0,
        target_latency_s=0.3,
        priority=1,
        targets=(route.RouteTarget(service, 1.0),),
        max_attempts=attempts,
        is_public=False,
        is_resumable=resumable,
        gap_target_s=0.2,
    )


def head(number, model="small", data_centre="a"):
    return endpoint_record.EndpointRecord(
        endpoint_id=f"e{number}",
        service="model",
        address=f"127.0.0.1:{9000 + number}",
        data_centre=data_centre,
        slots=9,
        is_leaving=False,
        born_ms=1,
        orders_accepted=0,
        fabric_domain="d0",
        models=(model,),
        membership=group_membership.GroupMembership(f"g{number}", 1, 0, "open"),
    )


def plain(number, data_centre="a"):
    return endpoint_record.EndpointRecord(
        f"p{number}", "app", f"127.0.0.1:{9500 + number}", data_centre, 6, False, 1, 0
    )


def configuration():
    services = {
        "model": service_spec.ServiceSpec("model", 278, plan_world.engine_spec()),
        "app": service_spec.ServiceSpec("app", 110, None),
    }
    return traffic_configuration.TrafficConfiguration(
        1, [make_route()], services, limits.CallerLimits(16384, 1 << 20, 3.0, 15.0), {}, False
    )


def make_dispatcher(records, stalls=None, seed=1):
    known = registry.EndpointRegistry()
    made = dispatcher.Dispatcher(
        "a", known, RETRY_LIMITS, stalls or stall_board.StallBoard(), random.Random(seed)
    )
    made.use_configuration(configuration())
    made.apply(known.apply_list(records, 0.0))
    return made, known


def question(model="small", excluded=(), service="model", the_route=None):
    return choice.Question(
        request_id="q",
        service=service,
        route=the_route or make_route(service=service),
        model=model,
        work=cost_model.Work(700, 170),
        time_left_s=6.0,
        excluded=frozenset(excluded),
    )
