"""VM capacity that a change is validated against."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Capacity:
    """Number and data centre of the live VMs in each fabric domain.

    Parameters
    ----------
    vms_by_domain : dict of str to int
        Number of live VMs, by fabric domain.
    place_by_domain : dict of str to str
        Data centre of each fabric domain.
    """

    vms_by_domain: dict
    place_by_domain: dict

    def largest_domain(self, places):
        """Return the largest VM count of a fabric domain in ``places``; empty means any place."""
        largest = 0
        for domain, vms in self.vms_by_domain.items():
            if places and self.place_by_domain[domain] not in places:
                continue
            largest = max(largest, vms)
        return largest


def from_vms(vms):
    """Return the capacity of a VM list; only live VMs count."""
    vms_by_domain, place_by_domain = {}, {}
    for vm in vms:
        if vm.state != "live":
            continue
        vms_by_domain[vm.fabric_domain] = vms_by_domain.get(vm.fabric_domain, 0) + 1
        place_by_domain[vm.fabric_domain] = vm.place
    return Capacity(vms_by_domain, place_by_domain)
