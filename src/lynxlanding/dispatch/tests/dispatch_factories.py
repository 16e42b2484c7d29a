"""Factories for routes, endpoints and dispatchers in tests."""

import random

from lynxlanding.dispatch import (
    cost_model,
    dispatch_decision,
    dispatcher,
    limit_table,
    rejection_table,
    request_allowance,
    response_metadata,
    stall_tracker,
    stated_leavings,
    statement_gate,
    statement_recorder,
)
from lynxlanding.fleet import endpoint_record, endpoint_statements, group_membership, registry
from lynxlanding.replicas.tests import simulated_domain
from lynxlanding.traffic import limits as traffic_limits
from lynxlanding.traffic import route as traffic_route
from lynxlanding.traffic import service_spec, traffic_configuration

# Status and fields of responses to the request "q", and whether they are the endpoint's own.
RESPONSE_ORIGINS = [
    (200, {}, True),
    (500, {}, True),
    (503, {"is_sealed": False, "was_not_run": True}, True),
    (200, {"request_id": "another"}, False),
    (200, {"is_sealed": False}, False),
    (421, {"is_sealed": False, "was_not_run": True}, False),
]
# Ratio, slack and window in seconds.
RETRY_LIMITS = (0.2, 109.0, 10.0)


class CompletedFuture:
    """Stands in for a pykka future."""

    def __init__(self, value):
        self._value = value

    def get(self):
        return self._value


def make_route(kind=traffic_route.STREAMING, max_attempts=2, is_resumable=True, service="model"):
    return traffic_route.Route(
        name="r",
        host="h",
        path_prefix="/p/",
        kind=kind,
        timeout_s=6.0,
        target_latency_s=0.3,
        priority=1,
        targets=(traffic_route.RouteTarget(service, 1.0),),
        max_attempts=max_attempts,
        is_public=False,
        is_resumable=is_resumable,
        gap_target_s=0.2,
    )


def make_head(number, model="small", data_centre="a"):
    return endpoint_record.EndpointRecord(
        endpoint_id=f"e{number}",
        service="model",
        address=f"127.0.0.1:{9000 + number}",
        data_centre=data_centre,
        slots=9,
        is_leaving=False,
        started_ms=1,
        heartbeat_number=0,
        fabric_domain="d0",
        models=(model,),
        membership=group_membership.GroupMembership(f"g{number}", 1, 0, "open"),
    )


def make_plain_endpoint(number, data_centre="a"):
    return endpoint_record.EndpointRecord(
        f"p{number}", "app", f"127.0.0.1:{9500 + number}", data_centre, 6, False, 1, 0
    )


def make_configuration():
    services = {
        "model": service_spec.ServiceSpec("model", 278, simulated_domain.make_engine_spec()),
        "app": service_spec.ServiceSpec("app", 110, None),
    }
    return traffic_configuration.TrafficConfiguration(
        1,
        [make_route()],
        services,
        traffic_limits.CallerLimits(16384, 1 << 20, 3.0, 15.0),
        {},
        False,
    )


def make_statement_gate(limits=None, rejections=None):
    limits = limits or limit_table.LimitTable("n0")
    allowance = request_allowance.RequestAllowance("n0", limits, now=0.0)
    return statement_gate.StatementGate(
        limits, allowance, rejections or rejection_table.RejectionTable()
    )


def make_statement_recorder(limits=None, on_leaving=None, rejections=None):
    return statement_recorder.StatementRecorder(
        "n0",
        limits or limit_table.LimitTable("n0"),
        rejections or rejection_table.RejectionTable(),
        stated_leavings.StatedLeavings(),
        on_leaving or (lambda record: None),
    )


def make_response_metadata(request_id="q", was_not_run=False, **statements):
    return response_metadata.ResponseMetadata(
        request_id,
        not was_not_run,
        was_not_run,
        None,
        False,
        False,
        None,
        endpoint_statements.EndpointStatements(**statements),
    )


def make_dispatcher(
    records, tracker=None, seed=1, limits=None, rejections=None, gate=None, **options
):
    endpoint_registry = registry.EndpointRegistry(heartbeat_interval_s=1.2)
    new_dispatcher = dispatcher.Dispatcher(
        "a",
        endpoint_registry,
        RETRY_LIMITS,
        tracker or stall_tracker.StallTracker(),
        gate or make_statement_gate(limits, rejections),
        random.Random(seed),
        **options,
    )
    new_dispatcher.use_configuration(make_configuration())
    new_dispatcher.apply(endpoint_registry.apply_list(records, 0.0))
    return new_dispatcher, endpoint_registry


def make_query(model="small", excluded=(), service="model", route=None):
    return dispatch_decision.DispatchQuery(
        request_id="q",
        service=service,
        route=route or make_route(service=service),
        model=model,
        work=cost_model.Work(700, 170),
        time_left_s=6.0,
        excluded=frozenset(excluded),
    )
