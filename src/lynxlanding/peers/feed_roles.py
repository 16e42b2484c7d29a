"""Which nodes read changes from the store and pass them on to the others."""

from lynxlanding.membership import rendezvous

# One relay serves this many nodes: it sends each of them some ten datagrams a second.
NODES_PER_RELAY = 40

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
