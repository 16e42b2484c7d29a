"""Mutable copy of a domain object for the reconciler."""

import dataclasses

from lynxlanding.groups import domain as domain_module
from lynxlanding.groups import group_record, vm_record


class DomainDraft:
    """Mutable copy of a domain object that records its changes.

    Parameters
    ----------
    domain : Domain
        Domain as stored.
    observations : dict of str to VmObservation
        VMs of the domain.
    wall_time : float
        Wall-clock time, in seconds.
    """

    def __init__(self, domain, observations, wall_time):
        self._domain = domain
        self._vms = dict(domain.vms)
        self._groups = dict(domain.groups)
        self._group_sequence = domain.group_sequence
        self._changes = []
        self._observations = observations
        self._wall_time = wall_time

    @property
    def groups(self):
        """Groups by name; modified only by the methods of this class."""
        return self._groups

    @property
    def vms(self):
        """VMs by name."""
        return self._vms

    @property
    def observations(self):
        """Observations by VM name."""
        return self._observations

    @property
    def wall_time(self):
        """Wall-clock time, in seconds."""
        return self._wall_time

    @property
    def changes(self):
        """Description of each change, one line each."""
        return self._changes

    def synchronise_vms(self):
        """Add new VMs, update leaving VMs and remove VMs that no longer exist."""
        owners = set()
        for group in self._groups.values():
            owners.update(group.vms)
        for name, observation in self._observations.items():
            record = self._vms.get(name)
            if record is None or (record.address != observation.address and name not in owners):
                if not observation.is_listed:
                    continue
                self._vms[name] = vm_record.VmRecord(
                    name,
                    observation.address,
                    observation.place,
                    observation.accelerators,
                    observation.is_leaving,
                )
                self._changes.append(f"VM {name} added")
                continue
            if record.is_leaving != observation.is_leaving:
                self._vms[name] = dataclasses.replace(record, is_leaving=observation.is_leaving)
                self._changes.append(f"VM {name} leaving: {observation.is_leaving}")
            # The VM list lags, so a VM that is missing from it is removed only when it is not alive
            # either.
            if not observation.is_listed and not observation.is_alive and name not in owners:
                del self._vms[name]
                self._changes.append(f"VM {name} removed")

    def free_vms(self, places=()):
        """Return the sorted names of live VMs that belong to no group."""
        owners = set()
        for group in self._groups.values():
            owners.update(group.vms)
        free = []
        for name in sorted(self._vms):
            observation = self._observations.get(name)
            record = self._vms[name]
            if name in owners or record.is_leaving or observation is None:
                continue
            if not observation.is_alive or not observation.is_listed:
                continue
            if places and record.place not in places:
                continue
            free.append(name)
        return free

    def replace_group(self, group, change):
        """Replace a group with a changed copy."""
        self._groups[group.name] = group
        self._changes.append(f"{group.name}: {change}")

    def remove_group(self, name, change):
        """Remove a group; its VMs become free."""
        del self._groups[name]
        self._changes.append(f"{name}: {change}")

    def add_group(self, desired, vms):
        """Create a group on free VMs and return it."""
        self._group_sequence += 1
        name = f"{desired.spec}.{self._domain.name}.{self._group_sequence}"
        group = group_record.GroupRecord(
            name=name,
            spec=desired.spec,
            model=desired.model,
            version=desired.version,
            adapters=desired.adapters,
            vms=tuple(vms),
            leader=vms[0],
            epoch=1,
            state=group_record.FORMING,
            since=self._wall_time,
            checks_fencing_number=desired.checks_fencing_number,
        )
        self._groups[name] = group
        self._changes.append(f"{name}: formed on {', '.join(vms)}")
        return group

    def finish(self):
        """Return the validated new domain, or None if nothing changed."""
        if not self._changes:
            return None
        changed = domain_module.Domain(
            self._domain.name, self._domain.lease, self._vms, self._groups, self._group_sequence
        )
        changed.validate()
        return changed
