"""The object ``domains/{fabric domain}``."""

import dataclasses

from lynxlanding.errors import groups as groups_errors
from lynxlanding.groups import group_record, vm_record
from lynxlanding.groups import lease as lease_module

KIND = "domains"


@dataclasses.dataclass(slots=True, frozen=True)
class Domain:
    """All VMs and groups of one fabric domain and its controller's lease.

    The object is always replaced as a whole with one conditional update, so the invariant that no
    VM is in two groups can be checked on a single value.

    Parameters
    ----------
    name : str
        Fabric domain.
    lease : Lease
        Lease of the controller.
    vms : dict of str to VmRecord
        VMs by name.
    groups : dict of str to GroupRecord
        Groups by name.
    group_sequence : int
        Number of groups ever created; used to form unique group names.
    """

    name: str
    lease: lease_module.Lease = lease_module.Lease()
    vms: dict[str, vm_record.VmRecord] = dataclasses.field(default_factory=dict)
    groups: dict[str, group_record.GroupRecord] = dataclasses.field(default_factory=dict)
    group_sequence: int = 0

    def group_by_vm(self):
        """Return the group name of each VM that belongs to a group."""
        owners = {}
        for group in self.groups.values():
            for vm in group.vms:
                owners[vm] = group.name
        return owners

    def validate(self):
        """Raise ``errors.groups.InvalidDomain`` if the object violates an invariant."""
        owners = {}
        for group in self.groups.values():
            if group.leader not in group.vms:
                raise groups_errors.InvalidDomain(f"{group.name}: leader is not one of its VMs")
            for vm in group.vms:
                if vm not in self.vms:
                    raise groups_errors.InvalidDomain(f"{group.name}: unknown VM {vm}")
                if vm in owners:
                    raise groups_errors.InvalidDomain(
                        f"VM {vm} is in the groups {owners[vm]} and {group.name}"
                    )
                owners[vm] = group.name

    def to_value(self):
        """Return the JSON representation."""
        vms = {}
        for name, vm in self.vms.items():
            vms[name] = vm.to_value()
        groups = {}
        for name, group in self.groups.items():
            groups[name] = group.to_value()
        return {
            "lease": self.lease.to_value(),
            "vms": vms,
            "groups": groups,
            "group_sequence": self.group_sequence,
        }


def from_value(name, value):
    """Return the domain described by a JSON value.

    Raises
    ------
    errors.groups.InvalidDomain
        If a field is missing or malformed, or an invariant is violated.
    """
    try:
        vms = {}
        for vm_name, entry in value["vms"].items():
            vms[vm_name] = vm_record.from_value(vm_name, entry)
        groups = {}
        for group_name, entry in value["groups"].items():
            groups[group_name] = group_record.from_value(group_name, entry)
        decoded = Domain(
            name, lease_module.from_value(value["lease"]), vms, groups, int(value["group_sequence"])
        )
    except (AttributeError, KeyError, TypeError, ValueError) as e:
        raise groups_errors.InvalidDomain(f"domains/{name}: malformed: {e!r}") from e
    decoded.validate()
    return decoded
