"""Assigns the probes of VMs to the nodes of a data centre.

The assignment uses rendezvous hashing (Thaler and Ravishankar, "Using name-based mappings to
increase hit rates", 1998): a change of the node list only reassigns the VMs of the nodes that
joined or left.
"""

import xxhash

# Two nodes probe each VM, so that evidence stays fresh when one node fails.
PROBERS_PER_VM = 2


def is_assigned(vm, node, nodes):
    """Return whether ``node`` probes ``vm``.

    Parameters
    ----------
    vm : str
        Name of the VM.
    node : str
        This node.
    nodes : collection of str
        Live nodes of the data centre. If ``node`` is not among them, it probes every VM, since it
        receives no evidence from other nodes.
    """
    if node not in nodes or len(nodes) <= PROBERS_PER_VM:
        return True
    own_score = _hash_score(vm, node)
    higher = 0
    for other in nodes:
        if other != node and (_hash_score(vm, other), other) > (own_score, node):
            higher += 1
    return higher < PROBERS_PER_VM


def takeover_delay_s(domain, node, spread_s):
    """Return the delay before a node starts work on a domain whose lease it does not hold.

    The delays, in seconds, differ between nodes, so that usually one node acts and the other nodes
    see its update before they start.
    """
    return spread_s * _hash_score(domain, node) / 2**32


def _hash_score(name, node):
    return xxhash.xxh32_intdigest(f"{name}/{node}")
