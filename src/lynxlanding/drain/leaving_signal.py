"""One source's statement that an endpoint is leaving."""

import dataclasses

VM_LIST = "vm_list"
OWN_REPORT = "own_report"
DRAIN_OBJECT = "drain_object"
GOSSIP = "gossip"
# What another node saw, by the source that it saw it from.
GOSSIP_BY_SOURCE = {VM_LIST: "gossip_vm_list", OWN_REPORT: "gossip_own_report"}


@dataclasses.dataclass(slots=True, frozen=True)
class LeavingSignal:
    """A statement about one endpoint.

    Parameters
    ----------
    source : str
        One of the constants of this module.
    subject : str
        What is leaving at the address: the VM's name for the VM list, the instance for the
        endpoint's own report, empty if the source does not say.
    at : float
        Monotonic time at which this node learned of it.
    """

    source: str
    subject: str
    at: float
