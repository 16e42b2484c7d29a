import dataclasses

import pytest

from lynxlanding.errors import platform as platform_errors
from lynxlanding.platform import (
    configuration_codec,
    endpoint_codec,
    engine_client,
    evacuation_codec,
    fields,
)
from lynxlanding.replicas import engine_order
from lynxlanding.traffic import route


def endpoint_entry(**changes):
    """Return the registration of an engine with some fields replaced."""
    spec = {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "z",
        "version": "v1",
        "slots": 9,
        "state": "ready",
        "cold_remaining_ms": 0,
        "seq_no": 4,
        "born": 17,
        "domain": "d0",
        "staged": ["m"],
        "models": [{"name": "m", "version": 1, "adapters": []}],
        "group": {"name": "g", "epoch": 3, "rank": 0, "state": "open"},
    }
    spec.update(changes)
    return spec


def test_decodes_an_engine_registration():
    record = endpoint_codec.decode("i-1", endpoint_entry())
    assert record.is_serving_head
    assert record.heartbeat_number == 4
    assert record.data_centre == "z"
    assert record.models == ("m",)
    assert not record.is_leaving
    assert endpoint_codec.decode("i-1", endpoint_entry(state="draining")).is_leaving


def test_decodes_a_plain_service_registration():
    spec = endpoint_entry(group=None, models=None, staged=None, domain=None)
    record = endpoint_codec.decode("i-1", spec)
    assert not record.is_engine
    assert record.membership is None


@pytest.mark.parametrize(
    "spec",
    [
        None,
        "text",
        [],
        endpoint_entry(state="resting"),
        endpoint_entry(address="nowhere"),
        endpoint_entry(address=7),
        endpoint_entry(slots="9"),
        endpoint_entry(slots=True),
        endpoint_entry(born=1.5),
        endpoint_entry(born=None),
        endpoint_entry(seq_no=None),
        endpoint_entry(group={"name": "g"}),
        endpoint_entry(group={"name": "g", "epoch": 1, "rank": 0, "state": "odd"}),
        endpoint_entry(models=["m"]),
        endpoint_entry(staged=[1]),
        {"service": "s"},
    ],
)
def test_rejects_invalid_endpoint_registrations(spec):
    with pytest.raises(platform_errors.MalformedEntry):
        endpoint_codec.decode("i-1", spec)


def configuration_document(**changes):
    """Return a configuration document with some fields replaced."""
    spec = {
        "version": 7,
        "routes": [
            {
                "name": "r1",
                "host": "A.example",
                "path_prefix": "/a/",
                "kind": "streaming",
                "timeout_ms": 8000,
                "target_latency_ms": 400,
                "priority": 1,
                "traffic_split": [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}],
                "max_attempts": 2,
                "public": False,
                "stream_resume": True,
                "gap_aim_ms": 300,
            },
            {
                "name": "r2",
                "host": "a.example",
                "path_prefix": "/a/b/",
                "kind": "unsafe",
                "timeout_ms": 1000,
                "service": "t",
            },
        ],
        "services": [{"name": "t", "health_path": "/h", "max_conns": 5}],
        "limits": {"max_body_bytes": 100},
        "tenants": [{"name": "w", "api_keys": ["k1", "k2"], "priority": 3}],
    }
    spec.update(changes)
    return spec


def test_decodes_a_configuration():
    configuration = configuration_codec.decode(configuration_document())
    assert configuration.version == 7
    assert configuration.services["t"].health_path == "/h"
    matched_route = configuration.find_route("a.example", "/a/x/y")
    assert (matched_route.name, matched_route.timeout_s, matched_route.is_idempotent) == (
        "r1",
        8.0,
        True,
    )
    assert [target.weight for target in matched_route.targets] == [90, 10]
    assert configuration.find_workspace("k2").name == "w"
    assert configuration.find_workspace("k3") is None
    assert configuration.requires_api_key


def test_longest_path_prefix_matches_at_slash_boundaries():
    configuration = configuration_codec.decode(configuration_document())
    assert configuration.find_route("A.EXAMPLE", "/a/b/c").name == "r2"
    assert configuration.find_route("a.example", "/a/bc").name == "r1"
    assert configuration.find_route("a.example", "/a").__class__ is not route.Route
    assert configuration.find_route("b.example", "/a/b/c") is None


@pytest.mark.parametrize(
    "changes",
    [
        {"version": "7"},
        {"routes": None},
        {"routes": [{"name": "r"}]},
        {"services": [{}]},
        {"routes": [{**configuration_document()["routes"][0], "kind": "odd"}]},
    ],
)
def test_rejects_invalid_configurations(changes):
    with pytest.raises(platform_errors.MalformedEntry):
        configuration_codec.decode(configuration_document(**changes))


@pytest.mark.parametrize("document", [[], "text", 7, None])
def test_a_report_that_is_no_object_is_malformed(document):
    """Guards against an untyped error when an engine sends JSON of another form."""
    with pytest.raises(platform_errors.MalformedEntry):
        engine_client._decode_report(document)
    with pytest.raises(platform_errors.MalformedEntry):
        fields.get(document, "pace", int, 0)


def test_a_join_carries_the_number_of_accepted_orders_that_the_engine_has_reported():
    """Guards against a check of the engine that compares nothing."""
    report = engine_client._decode_report({"born": 5, "seq_no": 7})
    assert report.accepted_orders == 7
    order = engine_order.EngineOrder(
        engine_order.JOIN, "e0", "g", 3, "m", ("e0",), expected_orders=report.accepted_orders
    )
    document = engine_client._encode_order(order)
    assert document["expected"] == 7
    unbound = dataclasses.replace(order, expected_orders=None)
    assert "expected" not in engine_client._encode_order(unbound)


@pytest.mark.parametrize(
    ("changes", "cold_remaining_s"),
    [
        ({}, 0.0),
        ({"cold_remaining_ms": 1500}, 1.5),
        ({"cold_remaining_ms": 12.5}, 0.0125),
        ({"cold_remaining_ms": -3}, 0.0),
        ({"cold_remaining_ms": None}, None),
    ],
)
def test_decodes_for_how_long_a_registered_engine_is_cold(changes, cold_remaining_s):
    """Guards against registrations without the field that are taken for malformed ones."""
    record = endpoint_codec.decode("i-1", endpoint_entry(**changes))
    assert record.cold_remaining_s == cold_remaining_s
    spec = endpoint_entry()
    del spec["cold_remaining_ms"]
    assert endpoint_codec.decode("i-1", spec).cold_remaining_s is None


def test_decodes_the_limits_of_cold_engines():
    (service,) = configuration_codec.decode(configuration_document()).services.values()
    assert (service.cold_start_s, service.cold_per_s) == (0.0, 0.0)
    document = configuration_document()
    document["services"][0].update(cold_start_s=3, cold_per_s=14)
    (service,) = configuration_codec.decode(document).services.values()
    assert (service.cold_start_s, service.cold_per_s) == (3, 14)


def test_evacuation_is_named_after_its_data_centre():
    assert evacuation_codec.decode("z-1 north") == "z-1 north"


@pytest.mark.parametrize("name", ["", "z\n", "z" * 129, "\x00"])
def test_evacuation_with_a_name_of_no_data_centre_is_malformed(name):
    with pytest.raises(platform_errors.MalformedEntry):
        evacuation_codec.decode(name)
