"""Distributes the probes of VMs over the nodes of a data centre.

Rendezvous hashing (Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
1998): a change of the node list moves only the VMs of the nodes that came or went.
"""

import xxhash

# Two nodes probe each VM, so that the loss of one node leaves the evidence fresh.
PROBERS = 2


def is_assigned(vm, node, nodes):
    """Return whether ``node`` probes ``vm``.

    Parameters
    ----------
    vm : str
        Name of the VM.
    node : str
        This node.
    nodes : collection of str
        Live nodes of the data centre. If ``node`` is not among them, it probes everything, since
        it has no evidence from others.
    """
    if node not in nodes or len(nodes) <= PROBERS:
        return True
    own = _score(vm, node)
    higher = 0
    for other in nodes:
        if other != node and (_score(vm, other), other) > (own, node):
            higher += 1
    return higher < PROBERS


def takeover_delay_s(domain, node, spread_s):
    """Return how long a node leaves work on a domain to others, in seconds.

    The delays differ between nodes, so that usually one node acts and the others see its update
    before they begin.
    """
    return spread_s * _score(domain, node) / 2**32


def _score(name, node):
    return xxhash.xxh32_intdigest(f"{name}/{node}")
