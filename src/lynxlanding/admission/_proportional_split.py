"""Splits a total between nodes in proportion to their demand."""

import numpy

# The minimum allocation of a node is total / (FLOOR_DIVISOR * nodes), so that a node with new
# demand can admit requests before the other nodes know of that demand.
FLOOR_DIVISOR = 4.0

MAX_ROUNDS = 50


def split_slots(slots, within_share, excess, own_index):
    """Return one node's part of the endpoints' slots.

    Slots needed by requests within share are allocated first, and the rest is split by the excess
    demand. A split by total demand would give the slots to the nodes where one workspace exceeds
    its share, and leave too few to the nodes with requests within share.

    Parameters
    ----------
    slots : float
        Number of slots to split.
    within_share : sequence of float
        Number of slots that each node needs for requests within share.
    excess : sequence of float
        Rate of excess requests at each node.
    own_index : int
        Index of the node whose part is returned.

    Returns
    -------
    float
        Number of slots.
    """
    needed = sum(within_share)
    if needed >= slots or sum(excess) <= 0:
        return split_total(slots, within_share, own_index)
    part = within_share[own_index] + split_total(slots - needed, excess, own_index)
    return max(part, slots / (FLOOR_DIVISOR * len(within_share)))


def split_total(total, demands, own_index):
    """Return the allocation of one node.

    Nodes that know the same demands compute the same split. Allocations are proportional to demand,
    with a floor. What nodes at the floor actually use is subtracted from the other allocations, so
    that the sum in use does not exceed the total; an unused floor costs the other nodes nothing.

    Parameters
    ----------
    total : float
        Rate or number of slots to split.
    demands : sequence of float
        Demand of each node, in the unit of ``total``.
    own_index : int
        Index of the node whose allocation is returned.

    Returns
    -------
    float
        Allocation of the node, in the unit of ``total``.
    """
    demands = numpy.asarray(demands, dtype=float)
    floor = total / (FLOOR_DIVISOR * len(demands))
    total_demand = demands.sum()
    if total <= 0 or total_demand <= 0:
        return total / max(1, len(demands))
    factor = total / total_demand
    if total_demand > total:
        # Nodes at the floor use min(demand, floor); the other nodes share the rest.
        for _ in range(MAX_ROUNDS):
            above_floor = factor * demands > floor
            if not above_floor.any():
                break
            used_at_floor = numpy.minimum(demands[~above_floor], floor).sum()
            next_factor = (total - used_at_floor) / demands[above_floor].sum()
            if next_factor >= factor * (1 - 1e-9):
                break
            factor = next_factor
    return max(floor, float(factor * demands[own_index]))
