"""Orders sent to engines."""

import dataclasses

LOAD = "load"


@dataclasses.dataclass(slots=True, frozen=True)
class EngineOrder:
    """Order to load the model version of a group on one VM.

    Parameters
    ----------
    vm, address : str
        Name and ``host:port`` of the VM.
    group : str
        Group that the engine joins.
    epoch : int
        Epoch of the group.
    model, version : str
        Model and version to load.
    adapters : tuple of str
        Adapters to load.
    peers : tuple of str
        Addresses of the group's VMs, leader first.
    fencing_number : int
        Term of the lease under which the order is sent.
    checks_fencing_number : bool
        Whether the engine rejects a stale fencing number.
    """

    vm: str
    address: str
    group: str
    epoch: int
    model: str
    version: str
    adapters: tuple[str, ...]
    peers: tuple[str, ...]
    fencing_number: int
    checks_fencing_number: bool

    @property
    def key(self):
        """Identity of the order, which a repetition shares."""
        return (self.vm, self.group, self.epoch, self.fencing_number)

    def to_value(self):
        """Return the body of ``POST /orders``."""
        return {
            "order": LOAD,
            "fencing_number": self.fencing_number,
            "group": self.group,
            "epoch": self.epoch,
            "model": self.model,
            "version": self.version,
            "adapters": list(self.adapters),
            "vms": list(self.peers),
            "leader": self.peers[0],
        }
