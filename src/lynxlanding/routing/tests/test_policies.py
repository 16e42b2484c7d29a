import math

import hypothesis
import numpy
import pytest
from hypothesis import strategies

from lynxlanding.errors import settings as settings_errors
from lynxlanding.routing import attempt_result, cache_report, policy, policy_registry, prefix
from lynxlanding.routing.tests import view_factories

SERVICE = view_factories.SERVICE
NAMES = sorted(policy_registry.POLICY_BY_NAME)


@pytest.mark.parametrize("name", NAMES)
@hypothesis.settings(max_examples=60, derandomize=True, deadline=None)
@hypothesis.given(
    case=strategies.fixed_dictionaries(
        {
            "count": strategies.integers(0, 12),
            "leaving": strategies.sets(strategies.integers(0, 11)),
            "ejected": strategies.sets(strategies.integers(0, 11)),
            "excluded": strategies.sets(strategies.integers(0, 11)),
            "loads": strategies.lists(strategies.integers(0, 20), min_size=12, max_size=12),
            "key": strategies.none() | strategies.text(max_size=8),
            "seed": strategies.integers(0, 1000),
        }
    )
)
def test_policy_chooses_only_allowed_endpoints(name, case):
    """Guards against choosing an excluded or unusable endpoint, or none although one is allowed."""
    count = case["count"]
    view = view_factories.make_view(count)
    addresses = view_factories.make_addresses(count)
    for number, address in enumerate(addresses):
        view.apply_load(view_factories.make_load_report(address, 1.0, case["loads"][number]), 1.0)
        if number in case["leaving"]:
            view.mark_leaving(address, "drains", 1.0)
        if number in case["ejected"]:
            for _ in range(3):
                view.record_failed_poll(address, 1.0)
    forbidden = frozenset(addresses[n] for n in case["excluded"] if n < count)
    request = policy.RouteRequest(case["key"], forbidden)
    pool = view.pool(SERVICE)
    random_state = numpy.random.default_rng(case["seed"])
    state = policy_registry.create(name).choose(pool, request, 2.0, random_state)
    allowed = {s.address for s in pool.candidates} - forbidden
    if not allowed:
        assert state is None
        return
    assert state.address in allowed
    random_state = numpy.random.default_rng(case["seed"])
    again = policy_registry.create(name).choose(pool, request, 2.0, random_state)
    assert again is state


def test_unknown_policy_is_rejected():
    """Guards against a misspelled policy name that silently selects another policy."""
    with pytest.raises(settings_errors.SettingsError):
        policy_registry.create("prefix-affinity")


def _route(view, name, prefix_keys, seed=1):
    chosen = []
    routing_policy = policy_registry.create(name)
    random_state = numpy.random.default_rng(seed)
    for prefix_key in prefix_keys:
        request = policy.RouteRequest(prefix_key)
        state = routing_policy.choose(view.pool(SERVICE), request, 1.0, random_state)
        view.begin_request(state.address, 1.0)
        chosen.append(state.address)
    return chosen


@pytest.mark.parametrize("seed", range(3))
def test_two_choices_balances_better_than_random(seed):
    """Guards against a two-choices policy that ignores the load."""
    max_loads = {}
    for name in ("random", "two_choices"):
        view = view_factories.make_view(100)
        _route(view, name, [None] * 1000, seed)
        max_loads[name] = max(state.load for state in view.states())
    assert max_loads["two_choices"] <= 13 < max_loads["random"]


def test_prefix_affinity_respects_the_load_bound():
    """Guards against one popular prefix overloading its endpoints."""
    view = view_factories.make_view(40)
    for address in view_factories.make_addresses(40):
        view.apply_load(view_factories.make_load_report(address, 0.5), 0.5)
    _route(view, "prefix_affinity", ["same"] * 400)
    # The mean is 10; the two-choices fallback may exceed the bound by one request.
    assert max(state.load for state in view.states()) <= math.ceil(1.25 * 10) + 1


def test_prefix_affinity_uses_few_endpoints_per_prefix():
    """Guards against spreading requests with the same prefix over all endpoints."""
    view = view_factories.make_view(40)
    keys = [f"p{number % 100}" for number in range(400)]
    chosen = _route(view, "prefix_affinity", keys)
    affinity_pairs = len(set(zip(keys, chosen, strict=True)))
    view = view_factories.make_view(40)
    two_choices_pairs = len(set(zip(keys, _route(view, "two_choices", keys), strict=True)))
    assert affinity_pairs < 0.75 * two_choices_pairs


def test_prefix_affinity_prefers_a_known_holder():
    """Guards against ignoring cache events."""
    view = view_factories.make_view(40)
    ring = list(view.pool(SERVICE).walk_ring(prefix.ring_hash("p"), 1000))
    event = cache_report.CacheEvent(1, cache_report.STORED, "p")
    view.apply_cache(cache_report.CacheReport(ring[1].address, (event,), 1))
    assert _route(view, "prefix_affinity", ["p"]) == [ring[1].address]
    other_view = view_factories.make_view(40)
    other_view.apply_cache(cache_report.CacheReport(ring[9].address, (event,), 1))
    assert _route(other_view, "prefix_affinity", ["p"]) == [ring[9].address]


@pytest.mark.parametrize("name", ["two_choices", "prefix_affinity"])
def test_straggler_receives_fewer_requests(name):
    """Guards against a slow endpoint that receives an equal share of the requests."""
    view = view_factories.make_view(20)
    slow = view_factories.make_addresses(1)[0]
    for step in range(400):
        address = view_factories.make_addresses(20)[step % 20]
        result = attempt_result.AttemptResult(
            attempt_result.SUCCEEDED, 1.0 if address == slow else 0.1
        )
        view.end_request(view.begin_request(address, 1.0), result, 1.0)
    chosen = _route(view, name, [f"p{number}" for number in range(400)])
    assert chosen.count(slow) <= 0.3 * 400 / 20
