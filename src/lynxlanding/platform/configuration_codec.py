"""Decoding of the operator's configuration in the platform's store."""

from lynxlanding.errors import platform as platform_errors
from lynxlanding.platform import fields
from lynxlanding.traffic import limits, route, service_spec, traffic_configuration, workspace

KIND = "config"
NAME = "main"

_SECONDS_PER_MS = 1e-3
_NUMBER_TYPES = (int, float)


def decode(spec):
    """Return the ``TrafficConfiguration`` decoded from a stored document.

    Raises
    ------
    errors.platform.MalformedEntry
        If a field is missing or of another type, or a route is of an unknown kind.
    """
    routes = []
    for document in fields.require(spec, "routes", list):
        routes.append(_decode_route(document))
    services = {}
    for document in fields.require(spec, "services", list):
        service = _decode_service(document)
        services[service.name] = service
    workspaces_by_api_key = {}
    tenants = fields.get(spec, "tenants", list, None)
    for document in tenants or []:
        owner = workspace.Workspace(
            fields.require(document, "name", str), fields.get(document, "priority", int, None)
        )
        for key in fields.get(document, "api_keys", list, []):
            if not isinstance(key, str):
                raise platform_errors.MalformedEntry("field 'api_keys' must contain only strings")
            workspaces_by_api_key[key] = owner
    return traffic_configuration.TrafficConfiguration(
        version=decode_version(spec),
        routes=routes,
        services=services,
        limits=_decode_limits(fields.get(spec, "limits", dict, {})),
        workspaces_by_api_key=workspaces_by_api_key,
        requires_api_key=tenants is not None,
    )


def decode_version(spec):
    """Return the version of a stored configuration; raise ``MalformedEntry`` if it has none."""
    return fields.require(spec, "version", int)


def _decode_limits(document):
    return limits.CallerLimits(
        max_header_bytes=fields.get(document, "max_header_bytes", int, 16 << 10),
        max_body_bytes=fields.get(document, "max_body_bytes", int, 4 << 20),
        header_timeout_s=fields.get(document, "header_timeout_ms", _NUMBER_TYPES, 3000)
        * _SECONDS_PER_MS,
        idle_timeout_s=fields.get(document, "idle_timeout_ms", _NUMBER_TYPES, 15000)
        * _SECONDS_PER_MS,
    )


def _decode_route(document):
    kind = fields.require(document, "kind", str)
    if kind not in route.KINDS:
        raise platform_errors.MalformedEntry(f"unknown route kind {kind!r}")
    targets = []
    for target in fields.get(document, "traffic_split", list, []):
        targets.append(
            route.RouteTarget(
                fields.require(target, "service", str),
                fields.require(target, "weight", _NUMBER_TYPES),
            )
        )
    if not targets:
        targets.append(route.RouteTarget(fields.require(document, "service", str), 1.0))
    target_latency_ms = fields.get(document, "target_latency_ms", _NUMBER_TYPES, 1000)
    return route.Route(
        name=fields.require(document, "name", str),
        host=fields.require(document, "host", str),
        path_prefix=fields.require(document, "path_prefix", str),
        kind=kind,
        timeout_s=fields.require(document, "timeout_ms", _NUMBER_TYPES) * _SECONDS_PER_MS,
        target_latency_s=target_latency_ms * _SECONDS_PER_MS,
        priority=fields.get(document, "priority", int, 0),
        targets=tuple(targets),
        max_attempts=fields.get(document, "max_attempts", int, 1),
        is_public=fields.get(document, "public", bool, False),
        is_resumable=fields.get(document, "stream_resume", bool, False),
        gap_target_s=fields.get(document, "gap_aim_ms", _NUMBER_TYPES, target_latency_ms)
        * _SECONDS_PER_MS,
    )


def _decode_service(document):
    engine = fields.get(document, "engine", dict, None)
    return service_spec.ServiceSpec(
        name=fields.require(document, "name", str),
        max_connections=fields.get(document, "max_conns", int, 0),
        engine=None if engine is None else _decode_engine(engine),
        health_path=fields.get(document, "health_path", str, None),
        cold_start_s=fields.get(document, "cold_start_s", _NUMBER_TYPES, 0.0),
        cold_per_s=fields.get(document, "cold_per_s", _NUMBER_TYPES, 0.0),
    )


def _decode_engine(document):
    models = {}
    for model in fields.get(document, "models", list, []):
        model_spec = service_spec.ModelSpec(
            name=fields.require(model, "name", str),
            engines_per_group=fields.get(model, "size", int, 1),
            share=fields.get(model, "share", _NUMBER_TYPES, 1.0),
            time_factor=fields.get(model, "pace", _NUMBER_TYPES, 1.0),
            load_s=fields.get(model, "load_s", _NUMBER_TYPES, 0.0),
            staged_load_s=fields.get(model, "warm_s", _NUMBER_TYPES, 0.0),
        )
        models[model_spec.name] = model_spec
    # Mean tokens per request of the service; the names on the wire carry no unit.
    mean_token_counts = fields.get(document, "usual", dict, {})
    return service_spec.EngineSpec(
        slots=fields.require(document, "slots", int),
        kv_capacity_tokens=fields.get(document, "kv_capacity", int, 0),
        steps_per_pass=fields.get(document, "stride", int, 1),
        step_s=fields.get(document, "step_ms", _NUMBER_TYPES, 10.0) * _SECONDS_PER_MS,
        step_per_sequence_s=fields.get(document, "per_seq_ms", _NUMBER_TYPES, 0.0)
        * _SECONDS_PER_MS,
        # Milliseconds per 1,000 context tokens on the wire.
        step_per_context_token_s=fields.get(document, "context_per_k", _NUMBER_TYPES, 0.0) * 1e-6,
        prefill_tokens_per_s=fields.get(document, "read_per_s", _NUMBER_TYPES, 50_000.0),
        # Milliseconds per million token pairs on the wire.
        prefill_per_pair_s=fields.get(document, "pairs_per_m", _NUMBER_TYPES, 0.0) * 1e-9,
        chunk_tokens=fields.get(document, "chunk", int, 2048),
        loads_per_s=fields.get(document, "loads_per_s", _NUMBER_TYPES, 1.0),
        max_concurrent_loads=fields.get(document, "loads_at_once", _NUMBER_TYPES, 1),
        retained_models=fields.get(document, "retain_count", int, 1),
        formation_s=fields.get(document, "form_ms", _NUMBER_TYPES, 0) * _SECONDS_PER_MS,
        mean_prompt_tokens=fields.get(mean_token_counts, "prompt", _NUMBER_TYPES, 1000),
        mean_answer_tokens=fields.get(mean_token_counts, "answer", _NUMBER_TYPES, 150),
        models=models,
        report_lag_s=fields.get(document, "report_lag_ms", _NUMBER_TYPES, 0) * _SECONDS_PER_MS,
    )
