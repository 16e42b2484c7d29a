"""Membership of an endpoint in a service."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointMember:
    """An endpoint and the conditions under which a service uses it.

    Parameters
    ----------
    address : str
        ``host:port`` of the endpoint.
    model : str or None
        Model that the endpoint must report; None allows any.
    group : str or None
        Replica group that the endpoint must report. An endpoint with a group is used only while
        there is recent evidence that all VMs of the group work.
    epoch : int or None
        Epoch of the group that the endpoint must report.
    needs_evidence : bool
        Whether such evidence is also required without ``group``.
    """

    address: str
    model: str | None = None
    group: str | None = None
    epoch: int | None = None
    needs_evidence: bool = False
