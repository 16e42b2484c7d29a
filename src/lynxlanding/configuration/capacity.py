"""VMs against which a change is validated."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Capacity:
    """Number of VMs in each fabric domain.

    Parameters
    ----------
    vms_by_domain : dict of str to int
        VMs that are not leaving, by fabric domain.
    place_by_domain : dict of str to str
        Data centre of each fabric domain.
    """

    vms_by_domain: dict
    place_by_domain: dict

    def largest_domain(self, places):
        """Return the VMs of the largest fabric domain in some places; empty means any place."""
        largest = 0
        for domain, vms in self.vms_by_domain.items():
            if places and self.place_by_domain[domain] not in places:
                continue
            largest = max(largest, vms)
        return largest


def from_vms(vms):
    """Return the capacity of a VM list; VMs that are leaving do not count."""
    vms_by_domain, place_by_domain = {}, {}
    for vm in vms:
        if vm.state != "live":
            continue
        vms_by_domain[vm.fabric_domain] = vms_by_domain.get(vm.fabric_domain, 0) + 1
        place_by_domain[vm.fabric_domain] = vm.place
    return Capacity(vms_by_domain, place_by_domain)
