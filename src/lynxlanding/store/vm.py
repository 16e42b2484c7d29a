"""One VM of the platform's VM list."""

import dataclasses

LIVE = "live"
LEAVING = "leaving"


@dataclasses.dataclass(slots=True, frozen=True)
class Vm:
    """A VM that can run an endpoint.

    Parameters
    ----------
    name : str
        Name of the VM.
    address : str
        ``host:port`` of the endpoint on it.
    place : str
        Data centre.
    fabric_domain : str
        Fabric domain; VMs of one replica group share it.
    accelerators : int
        Number of accelerators.
    state : {"live", "leaving"}
        State according to the VM list, which lags.
    """

    name: str
    address: str
    place: str
    fabric_domain: str
    accelerators: int
    state: str
