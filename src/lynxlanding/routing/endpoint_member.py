"""Configured membership of an endpoint in a service."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointMember:
    """An endpoint that belongs to a service according to the configuration.

    Parameters
    ----------
    address : str
        ``host:port`` of the endpoint.
    model : str or None
        Model that it must report; None accepts any.
    group : str or None
        Replica group that it must report. An endpoint with a group is used only while serving
        evidence of the group is valid.
    epoch : int or None
        Epoch of the group that it must report.
    needs_evidence : bool
        Whether it is used only while serving evidence is valid, also without ``group``.
    """

    address: str
    model: str | None = None
    group: str | None = None
    epoch: int | None = None
    needs_evidence: bool = False
