"""Split of an owed rate between nodes by demand."""

import numpy

# A node whose demand is new may use owed / (FLOOR_DIVISOR * nodes) before the others know of it.
FLOOR_DIVISOR = 4.0

MAX_ROUNDS = 50


def split_slots(slots, within, excess, own_index):
    """Return one node's part of the endpoints' slots.

    The slots that requests within share need come first, the rest is split by the demand in
    excess. A split by all demand alone would give the slots to the nodes where one workspace
    exceeds its share, and leave too few where the others are owed service.

    Parameters
    ----------
    slots : float
        Slots to split.
    within : sequence of float
        Slots that each node needs for requests within share.
    excess : sequence of float
        Rate of requests in excess at each node.
    own_index : int
        Index of the node whose part is returned.

    Returns
    -------
    float
        Number of slots.
    """
    needed = sum(within)
    if needed >= slots or sum(excess) <= 0:
        return split(slots, within, own_index)
    part = within[own_index] + split(slots - needed, excess, own_index)
    return max(part, slots / (FLOOR_DIVISOR * len(within)))


def split(owed, demands, own_index):
    """Return the slice of one node.

    Every node that knows the same demands computes the same split. Slices are proportional to
    demand with a floor. What nodes at the floor really use is taken from the other slices, so that
    the rate in use does not exceed what is owed; a floor that is unused costs the others nothing.

    Parameters
    ----------
    owed : float
        Rate to split.
    demands : sequence of float
        Demand of every node, in the unit of ``owed``.
    own_index : int
        Index of the node whose slice is returned.

    Returns
    -------
    float
        Rate of the node.
    """
    demands = numpy.asarray(demands, dtype=float)
    floor = owed / (FLOOR_DIVISOR * len(demands))
    total = demands.sum()
    if owed <= 0 or total <= 0:
        return owed / max(1, len(demands))
    factor = owed / total
    if total > owed:
        # Nodes at the floor use min(demand, floor); the rest of the rate goes to the others.
        for _ in range(MAX_ROUNDS):
            above = factor * demands > floor
            if not above.any():
                break
            used_at_floor = numpy.minimum(demands[~above], floor).sum()
            next_factor = (owed - used_at_floor) / demands[above].sum()
            if next_factor >= factor * (1 - 1e-9):
                break
            factor = next_factor
    return max(floor, float(factor * demands[own_index]))
