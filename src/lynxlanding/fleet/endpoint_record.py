"""What an endpoint says about itself."""

import dataclasses

from lynxlanding.fleet import group_membership


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointRecord:
    """One endpoint as registered in the platform's store.

    Parameters
    ----------
    endpoint_id : str
        Identity of the endpoint.
    service : str
        Service that the endpoint belongs to.
    address : str
        ``host:port``. The platform reuses addresses, so a request also names ``endpoint_id``.
    data_centre : str
        Data centre of the endpoint.
    slots : int
        Requests that the endpoint runs at once.
    is_leaving : bool
        Whether the endpoint has announced its shutdown.
    born_ms : int
        Start of the incarnation, in Unix milliseconds by the endpoint's clock. Only compared with
        other values of the same endpoint.
    orders_accepted : int
        Orders that the incarnation has accepted.
    fabric_domain : str or None
        Fabric domain of a model engine; None for a plain service.
    models : tuple of str
        Models whose weights are in the accelerators' memory.
    staged_models : tuple of str
        Models whose weights are on the host.
    membership : GroupMembership or None
        The engine's group.
    last_model : str or None
        Model of the last group of this incarnation, as far as the node has seen it. The engine
        joins another group of that model without loading.
    """

    endpoint_id: str
    service: str
    address: str
    data_centre: str
    slots: int
    is_leaving: bool
    born_ms: int
    orders_accepted: int
    fabric_domain: str | None = None
    models: tuple[str, ...] = ()
    staged_models: tuple[str, ...] = ()
    membership: group_membership.GroupMembership | None = None
    last_model: str | None = None

    @property
    def is_engine(self):
        """Whether the endpoint forms replica groups with others."""
        return self.fabric_domain is not None

    @property
    def is_serving_head(self):
        """Whether the engine is the head of an open group."""
        held = self.membership
        return held is not None and held.is_head and held.state == group_membership.OPEN

    def precedes(self, other):
        """Return whether this is older news of the endpoint than ``other``."""
        mine = (self.born_ms, self.orders_accepted)
        return mine < (other.born_ms, other.orders_accepted)
