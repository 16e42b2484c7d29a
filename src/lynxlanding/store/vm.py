"""Entry of the platform's VM list."""

import dataclasses

LIVE = "live"
LEAVING = "leaving"


@dataclasses.dataclass(slots=True, frozen=True)
class Vm:
    """VM that can run an endpoint.

    Parameters
    ----------
    name : str
        Name of the VM.
    address : str
        ``host:port`` of the endpoint on the VM.
    place : str
        Data centre.
    fabric_domain : str
        Fabric domain; all VMs of a replica group are in the same one.
    accelerators : int
        Number of accelerators of the VM.
    state : {"live", "leaving"}
        State according to the VM list, which may be out of date.
    """

    name: str
    address: str
    place: str
    fabric_domain: str
    accelerators: int
    state: str
