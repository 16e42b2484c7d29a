"""One replica group in a domain object."""

import dataclasses

# Not all engines have reported the group's epoch yet.
FORMING = "forming"
# Every engine has reported the group's epoch; its instances are recorded.
READY = "ready"
# A VM is missing and no spare was available; the group waits for the VM to return.
INCOMPLETE = "incomplete"
# The group gets no new requests; ``after_drain`` is the action after the last one has ended.
DRAINING = "draining"

# Values of ``after_drain``.
REMOVE = "remove"
CHANGE_VERSION = "change_version"
REPLACE_VMS = "replace_vms"


@dataclasses.dataclass(slots=True, frozen=True)
class GroupRecord:
    """A replica group. Names of removed groups are never reused.

    Parameters
    ----------
    name : str
        Unique name.
    spec : str
        Name of the configuration object of kind ``groups`` that the group belongs to.
    model, version : str
        Model and version that its engines load.
    adapters : tuple of str
        Adapters that its engines load.
    vms : tuple of str
        Names of its VMs.
    leader : str
        VM that requests are sent to.
    epoch : int
        Incremented by every change of VMs, version or adapters, and by every reload.
    state : str
        One of the states defined in this module.
    since : float
        Wall-clock time (seconds since 1970) at which the state or the epoch last changed.
    instances : dict of str to str
        Instance of the engine on each VM when the group became ready. An engine that restarted has
        another instance and has lost the state shared by the group's engines.
    after_drain : str
        Action that follows the state ``draining``; empty in other states.
    next_version : str
        Version to load after the drain; empty if unchanged.
    next_adapters : tuple of str
        Adapters to load after the drain.
    checks_fencing_number : bool
        Whether its engines reject a stale fencing number.
    """

    name: str
    spec: str
    model: str
    version: str
    adapters: tuple[str, ...]
    vms: tuple[str, ...]
    leader: str
    epoch: int
    state: str
    since: float
    instances: dict[str, str] = dataclasses.field(default_factory=dict)
    after_drain: str = ""
    next_version: str = ""
    next_adapters: tuple[str, ...] = ()
    checks_fencing_number: bool = False

    @property
    def counts_as_placed(self):
        """Whether the group counts towards its specification, now or after its current change."""
        if self.state == DRAINING:
            return self.after_drain != REMOVE
        return self.state != INCOMPLETE

    def with_next_epoch(self, wall_time, *, vms=None, version=None, adapters=None):
        """Return a copy with the next epoch, whose engines must be loaded again.

        Parameters
        ----------
        wall_time : float
            Wall-clock time, in seconds.
        vms : tuple of str, optional
            New VMs; unchanged by default.
        version : str, optional
            New version; unchanged by default.
        adapters : tuple of str, optional
            New adapters; unchanged by default.
        """
        new_vms = self.vms if vms is None else tuple(vms)
        return dataclasses.replace(
            self,
            vms=new_vms,
            leader=self.leader if self.leader in new_vms else new_vms[0],
            version=self.version if version is None else version,
            adapters=self.adapters if adapters is None else tuple(adapters),
            epoch=self.epoch + 1,
            state=FORMING,
            since=wall_time,
            instances={},
            after_drain="",
            next_version="",
            next_adapters=(),
        )

    def with_state(self, state, wall_time, **changes):
        """Return a copy in another state."""
        return dataclasses.replace(self, state=state, since=wall_time, **changes)

    def to_value(self):
        """Return the JSON representation."""
        return {
            "spec": self.spec,
            "model": self.model,
            "version": self.version,
            "adapters": list(self.adapters),
            "vms": list(self.vms),
            "leader": self.leader,
            "epoch": self.epoch,
            "state": self.state,
            "since": self.since,
            "instances": dict(self.instances),
            "after_drain": self.after_drain,
            "next_version": self.next_version,
            "next_adapters": list(self.next_adapters),
            "checks_fencing_number": self.checks_fencing_number,
        }


def from_value(name, value):
    """Return the group described by a JSON value."""
    return GroupRecord(
        name=name,
        spec=value["spec"],
        model=value["model"],
        version=value["version"],
        adapters=tuple(value["adapters"]),
        vms=tuple(value["vms"]),
        leader=value["leader"],
        epoch=int(value["epoch"]),
        state=value["state"],
        since=float(value["since"]),
        instances=dict(value["instances"]),
        after_drain=value["after_drain"],
        next_version=value["next_version"],
        next_adapters=tuple(value["next_adapters"]),
        checks_fencing_number=bool(value["checks_fencing_number"]),
    )
