"""One replica group in a domain object."""

import dataclasses

# The engines have not all reported the group's epoch yet.
FORMING = "forming"
# Every engine has reported the group's epoch; its instances are recorded.
READY = "ready"
# A VM is missing and no spare was available; the remaining VMs wait for it.
INCOMPLETE = "incomplete"
# No new requests; ``after_drain`` says what follows once the requests in flight have ended.
DRAINING = "draining"

REMOVE = "remove"
CHANGE_VERSION = "change_version"
REPLACE_VMS = "replace_vms"


@dataclasses.dataclass(slots=True, frozen=True)
class GroupRecord:
    """A replica group; its name is never used again after it was removed.

    Parameters
    ----------
    name : str
        Unique name.
    spec : str
        Name of the desired replica groups (kind ``groups``) that it fulfils.
    model, version : str
        What its engines load.
    adapters : tuple of str
        Adapters that its engines load.
    vms : tuple of str
        Names of its VMs.
    leader : str
        VM whose address receives the requests.
    epoch : int
        Incremented by every change of VMs, version or adapters, and by every reload.
    state : str
        One of the constants of this module.
    since : float
        Wall-clock time (seconds since 1970) at which the state or the epoch last changed.
    instances : dict of str to str
        Instance of the engine on each VM when the group became ready. An engine that comes back
        as another instance has lost what the group's engines share.
    after_drain : str
        What follows ``draining``; empty in other states.
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
        """Whether the group fulfils its specification now or after its current change."""
        if self.state == DRAINING:
            return self.after_drain != REMOVE
        return self.state != INCOMPLETE

    def reformed(self, wall_time, *, vms=None, version=None, adapters=None):
        """Return the group with the next epoch, to be loaded again.

        Parameters
        ----------
        wall_time : float
            Wall-clock time, in seconds.
        vms : tuple of str, optional
            New VMs.
        version : str, optional
            New version.
        adapters : tuple of str, optional
            New adapters.
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
        """Return the group in another state."""
        return dataclasses.replace(self, state=state, since=wall_time, **changes)

    def to_value(self):
        """Return the JSON form."""
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
    """Return the group of a JSON form."""
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
