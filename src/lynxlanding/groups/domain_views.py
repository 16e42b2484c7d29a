"""What is seen of each fabric domain, recomputed only for the domains that changed."""

import dataclasses

from lynxlanding.groups import serving_view, vm_view

# Endpoints are renewed when less than this share of the evidence bound is left of them.
RENEW_SHARE = 1 / 3
NEVER = float("inf")


@dataclasses.dataclass(slots=True)
class _View:
    key: tuple
    observations: dict
    endpoints: list
    alive: tuple
    missing: tuple
    has_failures: bool
    recheck_at: float


class DomainViews:
    """Observations and serving groups by fabric domain.

    A domain is recomputed when its object, its part of the VM list, a leaving signal or the
    evidence about one of its VMs changed, in each step while one of its VMs fails, and when its
    oldest evidence is about to expire. A newer sign of life that says the same changes nothing.

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
        self._keys = {}
        self._domain_by_vm = {}
        self._views = {}
        self._generation = 0

    @property
    def generation(self):
        """Number that increases with each change of an observation or a domain."""
        return self._generation

    def observations(self):
        """Return the observations by fabric domain and VM name, as of the last refresh."""
        return {name: view.observations for name, view in self._views.items()}

    def endpoints(self):
        """Return the endpoints of the groups that serve, as of the last refresh."""
        found = []
        for view in self._views.values():
            found.extend(view.endpoints)
        return found

    def refresh(self, domains, vms, now):
        """Recompute what changed.

        Parameters
        ----------
        domains : list of Domain
            All fabric domains, in a fixed order.
        vms : tuple of platform.vm.Vm
            The VM list.
        now : float
            Monotonic time, in seconds.
        """
        self._lay_out(domains, vms)
        changed = set()
        for vm in self._evidence.take_changed():
            changed.update(self._domain_by_vm.get(vm, ()))
        addresses = self._leaving.addresses
        is_all = addresses != self._addresses
        self._addresses = addresses
        views = {}
        for domain in domains:
            view = self._views.get(domain.name)
            is_known = view is not None and view.key is self._keys[domain.name]
            is_changed = not is_known or is_all or domain.name in changed
            if is_changed or not self._holds(view, domain, now):
                view = self._build(domain, now)
            views[domain.name] = view
        self._views = views

    def _lay_out(self, domains, vms):
        """Assign the VMs to the domains if the VM list or a domain object changed."""
        is_same = len(domains) == len(self._domains) and vms is self._vms
        if is_same and all(map(_is, domains, self._domains)):
            return
        self._domains, self._vms = domains, vms
        self._generation += 1
        held_by, listed = {}, {}
        for domain in domains:
            for vm in domain.group_by_vm():
                held_by.setdefault(vm, set()).add(domain.name)
        for vm in vms:
            listed.setdefault(vm.fabric_domain, []).append(vm)
        keys = {}
        self._domain_by_vm = {}
        for domain in domains:
            own = tuple(listed.get(domain.name, ()))
            elsewhere = frozenset(
                vm.name for vm in own if held_by.get(vm.name, set()) - {domain.name}
            )
            for name in {vm.name for vm in own} | set(domain.vms):
                self._domain_by_vm.setdefault(name, []).append(domain.name)
            key = self._keys.get(domain.name)
            if key is None or key[0] is not domain or key[1:] != (own, elsewhere):
                key = (domain, own, elsewhere)
            keys[domain.name] = key
        self._keys = keys

    def _holds(self, view, domain, now):
        """Return whether no VM fails, none came back, and none expired."""
        if view.has_failures or any(self._evidence.is_alive(vm, now) for vm in view.missing):
            return False
        return now < view.recheck_at or self._renew(view, domain, now)

    def _build(self, domain, now):
        key = self._keys[domain.name]
        observations = vm_view.build(domain, key[1], self._evidence, self._addresses, now, key[2])
        endpoints = serving_view.endpoints((domain,), self._evidence, self._leaving, now)
        names = set(observations) | set(domain.vms)
        alive = tuple(name for name in names if self._evidence.is_alive(name, now))
        missing = tuple(names.difference(alive))
        has_failures = any(self._evidence.has_failures(name) for name in names)
        view = _View(key, observations, endpoints, alive, missing, has_failures, NEVER)
        previous = self._views.get(domain.name)
        if previous is not None and previous.key is key and previous.observations == observations:
            # The same object shows the planning that nothing changed.
            view.observations = observations = previous.observations
        else:
            self._generation += 1
        self._set_recheck(view)
        return view

    def _renew(self, view, domain, now):
        """Give the endpoints their newest expiry; return whether every VM is still alive."""
        for name in view.alive:
            if not self._evidence.is_alive(name, now):
                return False
        for index, endpoint in enumerate(view.endpoints):
            valid_until = self._evidence.valid_until(domain.groups[endpoint.group].vms)
            view.endpoints[index] = dataclasses.replace(endpoint, valid_until=valid_until)
        self._set_recheck(view)
        return True

    def _set_recheck(self, view):
        if not view.alive:
            view.recheck_at = NEVER
            return
        expires_at = self._evidence.valid_until(view.alive)
        view.recheck_at = expires_at - self._evidence.rules.bound_s * RENEW_SHARE


def _is(one, other):
    return one is other
