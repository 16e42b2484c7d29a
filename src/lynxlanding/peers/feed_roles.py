"""Which nodes read changes from the store and pass them on to the others."""

from lynxlanding.membership import rendezvous

# One relay serves this many nodes: it sends each of them some ten datagrams a second.
NODES_PER_RELAY = 40
# With a second relay, a node whose relay is lost need not read from the store.
MIN_RELAYS = 2
# Nodes that may replace a relay which the store refuses. If it refuses a third of all nodes, it
# refuses all candidates for four relays in one of 500,000 cases.
CANDIDATES_PER_RELAY = 3

_RELAY_KEY = "lynxlanding-relays"


def choose_relay(node_id, store_nodes):
    """Return the node that passes changes on to ``node_id``; the node itself if it is a relay.

    Nodes that know of the same store nodes come to the same result. If they do not, a node asks
    one that is no relay, which serves it as long as it asks.

    Parameters
    ----------
    node_id : str
        Id of the node.
    store_nodes : list of str
        Ids of the live nodes that the store answers.
    """
    relay_count = 1 + len(store_nodes) // NODES_PER_RELAY
    relays = rendezvous.choose(_RELAY_KEY, store_nodes, relay_count)
    if node_id in relays:
        return node_id
    return rendezvous.choose(node_id, relays, 1)[0]


def choose_relays(live_nodes, store_nodes):
    """Return the relays of a large fleet.

    Only the first nodes in an order that all agree on become relays, so that a store which
    answers nobody is tried by few nodes. They are relays, too, if it answers none of them.

    Parameters
    ----------
    live_nodes : list of str
        Ids of the live nodes.
    store_nodes : list of str
        Ids of those that are not known to be refused by the store.
    """
    count = max(MIN_RELAYS, 1 + len(live_nodes) // NODES_PER_RELAY)
    candidates = rendezvous.choose(_RELAY_KEY, live_nodes, count * CANDIDATES_PER_RELAY)
    usable = set(store_nodes)
    answered = [node_id for node_id in candidates if node_id in usable]
    return (answered or candidates)[:count]


def rank_relays(node_id, relays):
    """Return relays in the order in which a node asks them."""
    return rendezvous.choose(node_id, relays, len(relays))
