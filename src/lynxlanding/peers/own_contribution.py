"""What a node itself has contributed to a digest."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class OwnContribution:
    """Part of a digest that comes from the node itself, which must not count twice.

    Parameters
    ----------
    loads : dict of str to int
        Requests in flight by endpoint id.
    busy_groups : dict of str to float
        Number of groups that the requests keep busy, by model.
    stalled, loading : frozenset of str
        Endpoints that this node has reported as stalled, or as loading on its orders.
    """

    loads: dict[str, int] = dataclasses.field(default_factory=dict)
    busy_groups: dict[str, float] = dataclasses.field(default_factory=dict)
    stalled: frozenset[str] = frozenset()
    loading: frozenset[str] = frozenset()
