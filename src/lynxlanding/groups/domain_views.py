"""Cached observations and serving groups of the fabric domains."""

import dataclasses

from lynxlanding.groups import serving_view, vm_view

# The expiry of endpoints is extended when less than this fraction of the evidence bound remains.
RENEWAL_FRACTION = 1 / 3
NEVER = float("inf")


@dataclasses.dataclass(slots=True)
class _View:
    inputs: tuple
    observations: dict
    endpoints: list
    alive_vms: tuple
    missing_vms: tuple
    has_failures: bool
    recheck_at: float


class DomainViews:
    """Observations and serving groups by fabric domain.

    A domain is recomputed when its object, its part of the VM list, a leaving signal or the
    evidence about one of its VMs has changed, in each step while probes of one of its VMs fail,
    and when its oldest evidence is about to expire. A newer probe with an unchanged report only
    extends the expiry.

    Parameters
    ----------
    evidence : EvidenceTable
        Probe results.
    leaving : LeavingTable
        Leaving endpoints.
    """

    def __init__(self, evidence, leaving):
        self._evidence = evidence
        self._leaving = leaving
        self._domains = []
        self._vms = None
        self._addresses = None
        self._inputs_by_domain = {}
        self._domain_by_vm = {}
        self._views = {}
        self._generation = 0

    @property
    def generation(self):
        """Number that increases with every change of an observation or a domain."""
        return self._generation

    def observations(self):
        """Return the observations by fabric domain and VM name, as of the last refresh."""
        return {name: view.observations for name, view in self._views.items()}

    def endpoints(self):
        """Return the endpoints of the serving groups, as of the last refresh."""
        found = []
        for view in self._views.values():
            found.extend(view.endpoints)
        return found

    def refresh(self, domains, vms, now):
        """Recompute the domains that changed.

        Parameters
        ----------
        domains : list of Domain
            All fabric domains, in a fixed order.
        vms : tuple of platform.vm.Vm
            The VM list.
        now : float
            Monotonic time, in seconds.
        """
        self._assign_vms(domains, vms)
        changed = set()
        for vm in self._evidence.pop_changed():
            changed.update(self._domain_by_vm.get(vm, ()))
        addresses = self._leaving.addresses
        addresses_changed = addresses != self._addresses
        self._addresses = addresses
        views = {}
        for domain in domains:
            view = self._views.get(domain.name)
            is_known = view is not None and view.inputs is self._inputs_by_domain[domain.name]
            is_changed = not is_known or addresses_changed or domain.name in changed
            if is_changed or not self._is_valid(view, domain, now):
                view = self._build(domain, now)
            views[domain.name] = view
        self._views = views

    def _assign_vms(self, domains, vms):
        """Assign VMs to domains again if the VM list or a domain object has changed."""
        is_unchanged = len(domains) == len(self._domains) and vms is self._vms
        if is_unchanged and all(map(_is_same_object, domains, self._domains)):
            return
        self._domains, self._vms = domains, vms
        self._generation += 1
        domains_by_vm, vms_by_domain = {}, {}
        for domain in domains:
            for vm in domain.group_by_vm():
                domains_by_vm.setdefault(vm, set()).add(domain.name)
        for vm in vms:
            vms_by_domain.setdefault(vm.fabric_domain, []).append(vm)
        inputs_by_domain = {}
        self._domain_by_vm = {}
        for domain in domains:
            listed_vms = tuple(vms_by_domain.get(domain.name, ()))
            held_elsewhere = frozenset(
                vm.name for vm in listed_vms if domains_by_vm.get(vm.name, set()) - {domain.name}
            )
            for name in {vm.name for vm in listed_vms} | set(domain.vms):
                self._domain_by_vm.setdefault(name, []).append(domain.name)
            inputs = self._inputs_by_domain.get(domain.name)
            if (
                inputs is None
                or inputs[0] is not domain
                or inputs[1:] != (listed_vms, held_elsewhere)
            ):
                inputs = (domain, listed_vms, held_elsewhere)
            inputs_by_domain[domain.name] = inputs
        self._inputs_by_domain = inputs_by_domain

    def _is_valid(self, view, domain, now):
        """Return whether no VM fails, has come back or has expired since the view was built."""
        if view.has_failures or any(self._evidence.is_alive(vm, now) for vm in view.missing_vms):
            return False
        return now < view.recheck_at or self._renew(view, domain, now)

    def _build(self, domain, now):
        inputs = self._inputs_by_domain[domain.name]
        observations = vm_view.build(
            domain, inputs[1], self._evidence, self._addresses, now, inputs[2]
        )
        endpoints = serving_view.endpoints((domain,), self._evidence, self._leaving, now)
        names = set(observations) | set(domain.vms)
        alive_vms = tuple(name for name in names if self._evidence.is_alive(name, now))
        missing_vms = tuple(names.difference(alive_vms))
        has_failures = any(self._evidence.has_failures(name) for name in names)
        view = _View(inputs, observations, endpoints, alive_vms, missing_vms, has_failures, NEVER)
        previous = self._views.get(domain.name)
        if (
            previous is not None
            and previous.inputs is inputs
            and previous.observations == observations
        ):
            # The planner compares observations by identity to detect that nothing has changed.
            view.observations = observations = previous.observations
        else:
            self._generation += 1
        self._set_recheck(view)
        return view

    def _renew(self, view, domain, now):
        """Update the expiry of the endpoints; return whether every VM is still alive."""
        for name in view.alive_vms:
            if not self._evidence.is_alive(name, now):
                return False
        for index, endpoint in enumerate(view.endpoints):
            valid_until = self._evidence.valid_until(domain.groups[endpoint.group].vms)
            view.endpoints[index] = dataclasses.replace(endpoint, valid_until=valid_until)
        self._set_recheck(view)
        return True

    def _set_recheck(self, view):
        if not view.alive_vms:
            view.recheck_at = NEVER
            return
        expires_at = self._evidence.valid_until(view.alive_vms)
        view.recheck_at = expires_at - self._evidence.rules.bound_s * RENEWAL_FRACTION


def _is_same_object(one, other):
    return one is other
