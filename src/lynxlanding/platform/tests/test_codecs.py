import pytest

from lynxlanding.errors import platform as platform_errors
from lynxlanding.platform import configuration_codec, endpoint_codec
from lynxlanding.traffic import route


def entry(**changes):
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


def test_decodes_an_engine():
    record = endpoint_codec.decode("i-1", entry())
    assert record.is_serving_head
    assert record.orders_accepted == 4
    assert record.data_centre == "z"
    assert record.models == ("m",)
    assert not record.is_leaving
    assert endpoint_codec.decode("i-1", entry(state="draining")).is_leaving


def test_decodes_a_plain_service():
    spec = entry(group=None, models=None, staged=None, domain=None)
    record = endpoint_codec.decode("i-1", spec)
    assert not record.is_engine
    assert record.membership is None


@pytest.mark.parametrize(
    "spec",
    [
        None,
        "text",
        [],
        entry(state="resting"),
        entry(address="nowhere"),
        entry(address=7),
        entry(slots="9"),
        entry(slots=True),
        entry(born=1.5),
        entry(born=None),
        entry(seq_no=None),
        entry(group={"name": "g"}),
        entry(group={"name": "g", "epoch": 1, "rank": 0, "state": "odd"}),
        entry(models=["m"]),
        entry(staged=[1]),
        {"service": "s"},
    ],
)
def test_entries_of_other_writers_name_no_endpoint(spec):
    with pytest.raises(platform_errors.MalformedEntry):
        endpoint_codec.decode("i-1", spec)


def document(**changes):
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
    made = configuration_codec.decode(document())
    assert made.version == 7
    found = made.find_route("a.example", "/a/x/y")
    assert (found.name, found.timeout_s, found.is_idempotent) == ("r1", 8.0, True)
    assert [target.weight for target in found.targets] == [90, 10]
    assert made.find_workspace("k2").name == "w"
    assert made.find_workspace("k3") is None
    assert made.requires_key


def test_the_longest_prefix_wins_and_a_prefix_ends_with_a_slash():
    made = configuration_codec.decode(document())
    assert made.find_route("A.EXAMPLE", "/a/b/c").name == "r2"
    assert made.find_route("a.example", "/a/bc").name == "r1"
    assert made.find_route("a.example", "/a").__class__ is not route.Route
    assert made.find_route("b.example", "/a/b/c") is None


@pytest.mark.parametrize(
    "changes",
    [
        {"version": "7"},
        {"routes": None},
        {"routes": [{"name": "r"}]},
        {"services": [{}]},
        {"routes": [{**document()["routes"][0], "kind": "odd"}]},
    ],
)
def test_refuses_a_configuration_that_cannot_be_read(changes):
    with pytest.raises(platform_errors.MalformedEntry):
        configuration_codec.decode(document(**changes))
