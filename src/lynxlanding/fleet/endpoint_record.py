"""Record of a registered endpoint."""

import dataclasses

from lynxlanding.fleet import group_membership
from lynxlanding.store import store_version


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointRecord:
    """Registration of an endpoint in the platform's store.

    Parameters
    ----------
    endpoint_id : str
        Unique id of the endpoint.
    service : str
        Service that the endpoint belongs to.
    address : str
        ``host:port``. The platform reuses addresses, so requests also carry ``endpoint_id``.
    data_centre : str
        Data centre of the endpoint.
    slots : int
        Number of requests that the endpoint runs concurrently.
    is_leaving : bool
        Whether the endpoint has announced its shutdown.
    started_ms : int
        Start time of the incarnation, in Unix milliseconds by the endpoint's clock. Comparable
        only with other values of the same endpoint.
    heartbeat_number : int
        Number of the heartbeat that wrote the registration. The incarnation counts its heartbeats;
        one that changes nothing else does not change the entry in the store.
    fabric_domain : str or None
        Fabric domain of a model engine; None for a plain service.
    models : tuple of str
        Models whose weights are loaded in the accelerators' memory.
    staged_models : tuple of str
        Models whose weights are staged on the host.
    membership : GroupMembership or None
        Membership of the engine in a group; None if it has no group.
    last_model : str or None
        Model of the last group that this node has seen the incarnation in. The engine can join
        another group of that model without loading weights.
    version : StoreVersion or None
        Version of the store at which the registration was written.
    is_unconfirmed : bool
        Whether the registration may be a late write of an incarnation that is gone. The registry
        sets it.
    cold_remaining_s : float or None
        For how long the engine will be slow and fragile from the writing of the registration on, in
        seconds; None if the registration does not state it.
    """

    endpoint_id: str
    service: str
    address: str
    data_centre: str
    slots: int
    is_leaving: bool
    started_ms: int
    heartbeat_number: int
    fabric_domain: str | None = None
    models: tuple[str, ...] = ()
    staged_models: tuple[str, ...] = ()
    membership: group_membership.GroupMembership | None = None
    last_model: str | None = None
    version: store_version.StoreVersion | None = None
    is_unconfirmed: bool = False
    cold_remaining_s: float | None = None

    @property
    def is_engine(self):
        """Whether the endpoint is a model engine, which forms replica groups with others."""
        return self.fabric_domain is not None

    @property
    def is_serving_head(self):
        """Whether the engine is the head of an open group."""
        member = self.membership
        return member is not None and member.is_head and member.state == group_membership.OPEN

    @property
    def accepts_requests(self):
        """Whether new requests may be sent to the endpoint."""
        return not self.is_leaving and not self.is_unconfirmed

    def is_older_than(self, other):
        """Return whether ``other`` is a more recent record of the same endpoint."""
        revision = (self.started_ms, self.heartbeat_number)
        return revision < (other.started_ms, other.heartbeat_number)
