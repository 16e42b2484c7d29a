"""Patterns in which every node of a large fleet used to call the store for itself."""

import random

import pytest

from lynxlanding.peers import feed_roles, store_access
from lynxlanding.peers.tests import store_simulation

NODES = [f"n{number}" for number in range(128)]
DOWN_FROM_S = 6.0
DOWN_UNTIL_S = 14.0


def is_down(now):
    return DOWN_FROM_S <= now < DOWN_UNTIL_S


@pytest.mark.parametrize("is_silent", [False, True])
def test_only_relays_call_a_store_that_is_down(is_silent):
    """Pattern: the store is down for 8 s. 128 nodes called it 8,022 times in this model."""
    fleet = store_simulation.Fleet(
        128,
        lambda node_id, now: not is_down(now),
        is_silent=is_silent,
        change_times=[DOWN_UNTIL_S - 0.01],
    )
    fleet.run(DOWN_UNTIL_S + 2.0)
    assert fleet.count_calls(DOWN_FROM_S, DOWN_UNTIL_S) < 200
    assert fleet.last_known_delay_s(2, DOWN_UNTIL_S) < 1.0
    # The nodes do not all call the store when they hear that it is back.
    assert fleet.count_calls(DOWN_UNTIL_S, DOWN_UNTIL_S + 2.0) < 150


@pytest.mark.parametrize("is_silent", [False, True])
def test_refused_nodes_read_through_relays_that_are_not(is_silent):
    """Pattern: the store refuses a third of the nodes, three of four relays among them."""
    refused = set(NODES[::3])
    fleet = store_simulation.Fleet(
        128,
        lambda node_id, now: not (is_down(now) and node_id in refused),
        is_silent=is_silent,
        change_times=[DOWN_FROM_S + 3.0, DOWN_FROM_S + 5.0],
    )
    assert len(refused.intersection(fleet.relays())) == 3
    fleet.run(DOWN_UNTIL_S)
    assert fleet.last_known_delay_s(2, DOWN_FROM_S + 3.0) < 1.0
    assert fleet.last_known_delay_s(3, DOWN_FROM_S + 5.0) < 1.0
    assert fleet.count_calls(DOWN_FROM_S, DOWN_UNTIL_S) < 350


def test_subscribers_of_a_killed_relay_turn_to_another_one():
    """Pattern: a relay is killed. Its 32 subscribers called the store for each kind until then."""
    fleet = store_simulation.Fleet(128, lambda node_id, now: True, change_times=[6.5])
    fleet.run(6.0)
    in_calm = fleet.count_calls(4.0, 6.0)
    fleet.kill(fleet.relays()[0])
    fleet.run(8.0)
    assert fleet.last_known_delay_s(2, 6.5) < 1.2
    assert fleet.count_calls(6.0, 8.0) < in_calm + 40


@pytest.mark.parametrize("store_answers", [True, False])
def test_a_node_cut_from_its_relays_does_not_use_old_data(store_answers):
    """Guards against a node that takes the silence of its relays for a calm store."""
    fleet = store_simulation.Fleet(40, lambda node_id, now: store_answers or now < 4.0)
    fleet.run(4.0)
    cut = next(node_id for node_id in NODES if node_id not in fleet.relays())
    fleet.nodes[cut].is_cut_from_relays = True
    longest_s = 0.0
    while fleet.now < 6.0:
        fleet.run(fleet.now + store_simulation.STEP_S)
        longest_s = max(longest_s, fleet.unnoticed_silence_s(cut))
    # Its first own watch lasts 0.2 s.
    first_watch_s = 0.2 if store_answers else 0.0
    assert longest_s < store_access.FEED_TIMEOUT_S + first_watch_s + 0.1


def make_access(node_count=128, node_id=None):
    relays = feed_roles.choose_relays(NODES[:node_count], NODES[:node_count])
    node_id = node_id or next(name for name in NODES if name not in relays)
    access = store_access.StoreAccess(node_id, random.Random(1))
    access.use_fleet(NODES[:node_count], NODES[:node_count])
    return access


def test_small_fleets_call_the_store_at_once():
    """Guards against a slower recovery in fleets whose calls cost little."""
    access = make_access(25, "n3")
    access.record_failure(1.0)
    access.record_waiting_relay(["servers"], 1.0)
    assert access.decide("servers", 1.0).reason == store_access.CALL_SMALL_FLEET
    assert not access.is_believed_down(1.0)


def test_probes_are_spaced_and_one_at_a_time():
    """Guards against one probe for each kind of objects, and against pauses without a limit."""
    relay = feed_roles.choose_relays(NODES, NODES)[0]
    access = make_access(node_id=relay)
    probes = []
    now = 1.0
    access.record_failure(now)
    while now < 11.0:
        now += 0.01
        decisions = [access.decide(kind, now) for kind in ("servers", "config")]
        called = [decision.may_call for decision in decisions]
        assert called.count(True) <= 1
        if True in called:
            probes.append(now)
            access.record_failure(now)
    assert 0.1 < probes[0] - 1.0 < 0.3
    pauses = [later - sooner for sooner, later in zip(probes, probes[1:], strict=False)]
    assert max(pauses) < 1.3 * store_access.MAX_PROBE_PAUSE_S
    assert len({round(pause, 2) for pause in pauses}) > 3


def test_a_refused_node_calls_again_soon_after_the_store_is_back():
    """Guards against pauses that have grown in an outage and delay the first call after it."""
    access = make_access()
    for step in range(20):
        access.decide("servers", float(step))
        access.record_failure(float(step))
    access.record_feed("servers", 30.0)
    assert not access.decide("servers", 30.05).may_call
    assert access.decide("servers", 30.3).may_call


def test_some_node_tries_a_store_that_relays_wait_for_twice_a_second():
    """Guards against relays that wait for a store which answers all others, and against a rush."""
    first_tries = []
    for seed in range(128):
        access = store_access.StoreAccess("other", random.Random(seed))
        access.use_fleet([*NODES, "other"], [*NODES, "other"])
        now = 0.0
        while True:
            access.record_waiting_relay(["servers"], now)
            decision = access.decide("servers", now)
            if decision.may_call:
                break
            assert decision.reason == store_access.WAIT_RELAYS_PROBE
            now += 0.1
        first_tries.append(now)
    assert min(first_tries) >= store_access.MIN_WAIT_S
    assert sum(now < 8.0 for now in first_tries) < 30
    assert max(first_tries) < 70.0


@pytest.mark.parametrize("is_silent", [False, True])
@pytest.mark.parametrize("refused_count", [4, 8, 11, 12])
def test_changes_are_known_where_the_store_refuses_candidates_for_relays(refused_count, is_silent):
    """Pattern: the store refuses those nodes that are to read it for the others.

    Engines that leave must get no requests 3 s after the store has accepted their announcement.
    """
    refused = set(feed_roles.rank_relays("lynxlanding-relays", NODES)[:refused_count])
    fleet = store_simulation.Fleet(
        128,
        lambda node_id, now: now < 4.0 or node_id not in refused,
        is_silent=is_silent,
        change_times=[4.02],
    )
    fleet.run(8.0)
    assert fleet.last_known_delay_s(2, 4.02) < 3.0
    assert fleet.count_calls(4.0, 8.0) < 250


@pytest.mark.parametrize("refused", [0, 12, 128])
def test_a_store_that_refuses_nodes_is_tried_by_few(refused):
    """Guards against a search for a node that the store answers, through the whole fleet."""
    order = feed_roles.rank_relays("lynxlanding-relays", NODES)
    relays = feed_roles.choose_relays(NODES, order[refused:])
    assert len(relays) == 4
    assert set(relays) <= set(order[:12])
