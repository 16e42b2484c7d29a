"""Evacuations that nodes learn from the reports of others.

Pattern: an operator empties a data centre while some nodes do not reach the store.
"""

import pytest

from lynxlanding.fleet import evacuated_data_centres
from lynxlanding.peers.tests import exchange_simulation

# Of the 5 s in which requests must stop, 3 s are for a node's own reading to count as old.
LEARN_S = 1.8


def make_network(seed, node_count, readers, older_count=0):
    network = exchange_simulation.Network(seed, node_count, older_count)
    for number in range(older_count, older_count + readers):
        network.nodes[f"n{number}"].reads_store = True
    return network


def current_nodes(network):
    return [
        node for node in network.running() if not isinstance(node, exchange_simulation.OlderNode)
    ]


def assert_all_know(network, *data_centres):
    for node in current_nodes(network):
        assert node.evacuated.data_centres == set(data_centres), node.node_id


@pytest.mark.parametrize(("node_count", "readers"), [(9, 1), (24, 12), (62, 2), (128, 90)])
def test_nodes_cut_from_the_store_learn_beginning_and_end(node_count, readers):
    network = make_network(1, node_count, readers)
    network.run(2.0)
    for data_centres in (("a",), ("a", "b"), ("b",), ()):
        network.evacuate(*data_centres)
        network.run(LEARN_S)
        assert_all_know(network, *data_centres)


@pytest.mark.parametrize("older_count", [1, 20, 50])
def test_nodes_learn_beside_nodes_of_an_earlier_version(older_count):
    network = make_network(2, 60, 5, older_count)
    network.run(2.0)
    network.evacuate("a")
    network.run(LEARN_S)
    assert_all_know(network, "a")
    network.evacuate()
    network.run(LEARN_S)
    assert_all_know(network)


def test_node_that_loses_the_store_goes_by_others_in_time():
    """Guards against a node that goes by its own last reading while others know better."""
    network = make_network(3, 30, 30)
    network.run(2.0)
    lost = network.nodes["n7"]
    lost.reads_store = False
    network.evacuate("a")
    network.run(evacuated_data_centres.CONTACT_S + LEARN_S)
    assert_all_know(network, "a")


def test_outage_of_the_store_for_all_nodes_ends_nothing():
    """Guards against an end because no node reads the store, also at nodes that start meanwhile."""
    network = make_network(4, 30, 10)
    network.evacuate("a")
    network.run(2.0)
    for node in network.running():
        node.reads_store = False
    network.evacuate()
    started = exchange_simulation.Node(network, 30)
    network.add(started)
    for node in network.running():
        node.learn_all()
    network.run(2 * evacuated_data_centres.REPORT_LIFETIME_S)
    assert_all_know(network, "a")


def test_what_only_nodes_that_are_gone_have_read_ends():
    """Guards against evacuations that nodes confirm to each other without the store."""
    network = make_network(5, 12, 1)
    network.evacuate("a")
    network.run(2.0)
    assert_all_know(network, "a")
    network.nodes["n0"].is_stopped = True
    network.run(evacuated_data_centres.REPORT_LIFETIME_S + 1.0)
    assert_all_know(network)
