"""Signal from one source that an endpoint is leaving."""

import dataclasses

VM_LIST = "vm_list"
OWN_REPORT = "own_report"
DRAIN_OBJECT = "drain_object"
GOSSIP = "gossip"
# Source of a signal received from another node, by the source that the other node observed.
GOSSIP_BY_SOURCE = {VM_LIST: "gossip_vm_list", OWN_REPORT: "gossip_own_report"}


@dataclasses.dataclass(slots=True, frozen=True)
class LeavingSignal:
    """Signal that one endpoint is leaving.

    Parameters
    ----------
    source : str
        Source of the signal, as named in this module.
    subject : str
        What is leaving at the address: the VM's name for the VM list, the instance for the
        endpoint's own report, or empty if the source does not specify it.
    at : float
        Monotonic time at which this node received the signal.
    """

    source: str
    subject: str
    at: float
