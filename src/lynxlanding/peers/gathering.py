"""Which nodes gather the reports of the others and pass them on as digests.

If every node reported to all others, the number of datagrams would grow with the square of the
fleet. So in a large fleet each node reports to two gatherers. The first sums up the work of its
members, and both say when they have last heard a node, so that the loss of one gatherer makes no
other node look dead.
"""

import math

from lynxlanding.membership import rendezvous

# Fleets with more peers than this gather reports; in smaller ones, nodes report to all others.
MAX_DIRECT_PEERS = 24
# Larger sections load their gatherer more; smaller ones send more digests to every node.
NODES_PER_GATHERER = 40
# Gatherers of each node.
GATHERERS_PER_NODE = 2

_GATHERER_KEY = "lynxlanding-gatherers"


def choose_gatherers(node_id, node_ids):
    """Return the gatherers of a node, the one that sums up its work first.

    Nodes that know of the same nodes come to the same gatherers. If they do not, a node gathers
    for those that ask it, as long as they do.

    Parameters
    ----------
    node_id : str
        Id of the node.
    node_ids : list of str
        Ids of the live nodes that know digests, including ``node_id``.

    Returns
    -------
    tuple of str
        Empty if the fleet is so small that the node reports to all others.
    """
    if len(node_ids) - 1 <= MAX_DIRECT_PEERS:
        return ()
    count = max(GATHERERS_PER_NODE, math.ceil(len(node_ids) / NODES_PER_GATHERER))
    gatherers = rendezvous.choose(_GATHERER_KEY, node_ids, count)
    chosen = rendezvous.choose(node_id, gatherers, GATHERERS_PER_NODE)
    if node_id not in gatherers:
        return tuple(chosen)
    others = [gatherer for gatherer in chosen if gatherer != node_id]
    return (node_id, others[0])
