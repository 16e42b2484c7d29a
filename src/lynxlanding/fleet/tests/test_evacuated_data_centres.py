"""Evacuations as a node knows them from the store and from other nodes."""

import random

from lynxlanding.fleet import evacuated_data_centres
from lynxlanding.store import store_version

BEGAN = evacuated_data_centres.BEGAN
ENDED = evacuated_data_centres.ENDED


def version(revision, era=1):
    return store_version.StoreVersion(era, revision)


def reading(names, revision, read_at, era=1):
    return evacuated_data_centres.EvacuationReading(
        frozenset(names), version(revision, era), read_at
    )


def kinds(changes):
    return [(change.kind, change.data_centre) for change in changes]


def test_evacuation_lasts_from_its_object_to_the_removal():
    state = evacuated_data_centres.EvacuatedDataCentres()
    assert not state.is_known
    assert state.record_list([], version(1), 10.0) == []
    assert state.is_known
    begun = state.record_changes(["a"], [], version(2), 10.4)
    assert kinds(begun) == [(BEGAN, "a")]
    assert begun[0].source == evacuated_data_centres.STORE
    assert begun[0].age_s == 0.0
    assert round(begun[0].unread_s, 6) == 0.4
    assert state.data_centres == {"a"}
    assert state.record_changes(["a"], [], version(3), 10.8) == [], "its value says nothing"
    assert kinds(state.record_changes(["b"], ["a"], version(4), 11.0)) == [
        (BEGAN, "b"),
        (ENDED, "a"),
    ]
    assert kinds(state.record_list([], version(5), 11.4)) == [(ENDED, "b")]
    assert state.change_count == 3


def test_outage_of_the_store_ends_no_evacuation():
    """Guards against requests to an evacuated data centre because the store has gone away."""
    state = evacuated_data_centres.EvacuatedDataCentres()
    state.record_list(["a"], version(1), 10.0)
    assert state.expire(500.0) == []
    assert state.data_centres == {"a"}
    assert state.read_age_s(500.0) == 490.0


def test_node_without_the_store_learns_beginning_and_end_from_others():
    state = evacuated_data_centres.EvacuatedDataCentres()
    state.record_list([], version(1), 10.0)
    begun = state.record_report(reading("a", 5, 13.8), "n2", 14.0)
    assert kinds(begun) == [(BEGAN, "a")]
    assert begun[0].source == "n2"
    assert round(begun[0].age_s, 6) == 0.2
    assert round(begun[0].unread_s, 6) == 4.0
    assert state.record_report(reading("", 4, 13.9), "n3", 14.1) == [], "an earlier version"
    assert kinds(state.record_report(reading("", 6, 14.9), "n3", 15.0)) == [(ENDED, "a")]


def test_starting_node_that_the_store_does_not_answer_learns_from_others():
    state = evacuated_data_centres.EvacuatedDataCentres()
    assert kinds(state.record_report(reading("a", 5, 1.0), "n2", 1.1)) == [(BEGAN, "a")]
    assert state.is_known
    assert state.own_reading is None, "it has read nothing that it could vouch for"


def test_own_recent_reading_counts_more_than_reports():
    """Guards against a faulty report that closes a data centre at nodes that reach the store."""
    state = evacuated_data_centres.EvacuatedDataCentres()
    state.record_list([], version(1), 10.0)
    assert state.record_report(reading("a", 1 << 40, 10.0), "n2", 11.0) == []
    assert kinds(state.expire(13.1)) == [(BEGAN, "a")], "its own reading has become too old"
    assert kinds(state.record_changes([], [], version(2), 13.3)) == [(ENDED, "a")]


def test_belief_from_reports_ends_when_no_node_repeats_it():
    """Guards against a single report that closes a data centre for good."""
    state = evacuated_data_centres.EvacuatedDataCentres()
    state.record_report(reading("a", 5, 1.0), "n2", 1.0)
    state.record_report(reading("a", 5, 1.0), "n2", 9.0)
    assert state.expire(9.0 + evacuated_data_centres.REPORT_LIFETIME_S) == []
    ended = state.expire(9.1 + evacuated_data_centres.REPORT_LIFETIME_S)
    assert kinds(ended) == [(ENDED, "a")]
    assert ended[0].source == evacuated_data_centres.AGE


def test_belief_lasts_while_a_node_repeats_it_from_an_earlier_version():
    """Guards against an end and a new beginning when the best informed node stops."""
    state = evacuated_data_centres.EvacuatedDataCentres()
    state.record_report(reading("a", 6, 1.0), "n2", 1.0)
    for second in range(2, 30):
        assert state.record_report(reading("a", 5, 1.0), "n3", float(second)) == []
    assert state.data_centres == {"a"}


def test_restored_store_that_lacks_an_evacuation_ends_it_after_a_grace_period():
    """Pattern: the store comes back from a copy that is older than the evacuation."""
    state = evacuated_data_centres.EvacuatedDataCentres()
    state.record_list(["a"], version(90), 10.0)
    state.record_rollback(11.0)
    assert state.record_list([], version(3, era=2), 11.1) == []
    assert state.record_changes(["a"], [], version(4, era=2), 12.0) == [], "it is written again"
    assert state.expire(20.0) == []
    state.record_rollback(21.0)
    assert state.record_list([], version(3, era=3), 21.1) == []
    assert kinds(state.expire(21.1 + evacuated_data_centres.ROLLBACK_GRACE_S)) == [(ENDED, "a")]


def test_reports_of_another_era_do_not_count_once_the_store_is_read():
    state = evacuated_data_centres.EvacuatedDataCentres()
    state.record_report(reading("a", 5, 1.0, era=7), "n2", 1.0)
    assert kinds(state.record_list([], version(3, era=6), 2.0)) == [(ENDED, "a")]
    assert state.expire(9.0) == []


def test_nodes_agree_with_the_store_whatever_the_order_of_news():
    """Guards against a belief that outlives or precedes every state of the store, 200 schedules.

    Each node reads the store at random and hears random earlier readings of the others.
    """
    for seed in range(200):
        random_state = random.Random(seed)
        history = [frozenset()]
        nodes = [evacuated_data_centres.EvacuatedDataCentres() for _ in range(4)]
        read = [-1] * len(nodes)
        sent = []
        now = 0.0
        for _ in range(60):
            now += random_state.random()
            action = random_state.random()
            index = random_state.randrange(len(nodes))
            if action < 0.3:
                history.append(history[-1] ^ {random_state.choice("ab")})
            elif action < 0.6:
                read[index] = len(history) - 1
                nodes[index].record_list(history[-1], version(read[index]), now)
                sent.append(nodes[index].own_reading)
                assert nodes[index].data_centres == history[-1], seed
            elif sent:
                nodes[index].record_report(random_state.choice(sent), "n", now)
            assert all(node.data_centres in history for node in nodes), seed
        for node in nodes:
            node.record_list(history[-1], version(len(history)), now)
            assert node.data_centres == history[-1], seed
            assert node.expire(now + 1.0) == [], seed
