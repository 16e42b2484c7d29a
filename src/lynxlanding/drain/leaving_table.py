"""Table of the endpoints that are leaving."""

from lynxlanding.drain import leaving_signal
from lynxlanding.store import vm as platform_vm

# Signals for an address are removed once it has been missing from the VM list for the longest
# deadline, since no request can be in flight there any more.
ABSENCE_TIMEOUT_S = 600.0


class LeavingTable:
    """Leaving endpoints by address.

    The first signal from any source stops new requests. A signal remains valid when its source no
    longer repeats it, because the VM list and the reports lag and may revert to an earlier state.
    Only an accepted configuration change cancels it: the removal of the ``drains`` object. Another
    VM or instance at the same address counts as another endpoint, to which signals about the
    previous one do not apply.
    """

    def __init__(self):
        self._signals = {}
        self._absent_since = {}
        self._drained_addresses = frozenset()

    @property
    def addresses(self):
        """Addresses of all leaving endpoints."""
        return frozenset(self._signals)

    def sources(self):
        """Return the sources of signals by address."""
        return {address: tuple(sorted(signals)) for address, signals in self._signals.items()}

    def is_leaving(self, address):
        """Return whether the endpoint must not receive new requests."""
        return address in self._signals

    def since(self, address):
        """Return the monotonic time of the address's first signal, or None."""
        signals = self._signals.get(address)
        if not signals:
            return None
        return min(signal.at for signal in signals.values())

    def record_signal(self, address, source, now, subject=""):
        """Record a signal.

        Parameters
        ----------
        address : str
            ``host:port`` of the endpoint.
        source : str
            Source of the signal, as named in ``leaving_signal``.
        now : float
            Monotonic time, in seconds.
        subject : str, optional
            Name of the VM or instance that is leaving.

        Returns
        -------
        bool
            Whether the endpoint was not leaving before, so that other nodes must be notified.
        """
        is_new = address not in self._signals
        signals = self._signals.setdefault(address, {})
        if source not in signals or signals[source].subject != subject:
            signals[source] = leaving_signal.LeavingSignal(source, subject, now)
        return is_new

    def record_vm_list(self, vms, now):
        """Record the VM list; return the addresses that were not leaving before."""
        new_addresses = []
        for vm in vms:
            if vm.state == platform_vm.LEAVING:
                if self.record_signal(vm.address, leaving_signal.VM_LIST, now, vm.name):
                    new_addresses.append(vm.address)
                continue
            self._remove_outdated(vm.address, leaving_signal.VM_LIST, vm.name)
        self._remove_absent({vm.address for vm in vms}, now)
        return new_addresses

    def record_report(self, address, instance, is_draining, now):
        """Record an endpoint's own report; return whether it was not leaving before."""
        if is_draining:
            return self.record_signal(address, leaving_signal.OWN_REPORT, now, instance)
        self._remove_outdated(address, leaving_signal.OWN_REPORT, instance)
        return False

    def notices(self):
        """Return the signals that this node observed itself, as a JSON document for other nodes.

        ``drains`` objects are omitted: every node receives them, and their removal, with the
        configuration.
        """
        document = {}
        for address, signals in sorted(self._signals.items()):
            for source in leaving_signal.GOSSIP_BY_SOURCE:
                if source in signals:
                    document.setdefault(address, {})[source] = signals[source].subject
        return document

    def record_notices(self, document, now):
        """Record another node's signals; return the addresses that were not leaving before."""
        new_addresses = []
        for address, subjects in document.items():
            for source, subject in subjects.items():
                gossip_source = leaving_signal.GOSSIP_BY_SOURCE.get(source)
                if gossip_source and self.record_signal(address, gossip_source, now, subject):
                    new_addresses.append(address)
        return new_addresses

    def apply_drains(self, addresses, now):
        """Apply the ``drains`` objects of an accepted configuration.

        Parameters
        ----------
        addresses : iterable of str
            Addresses of all ``drains`` objects.
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        list of str
            Addresses that were not leaving before.
        """
        current = frozenset(addresses)
        for address in self._drained_addresses - current:
            # Removes the signals of all sources; a source that still reports the endpoint as
            # leaving repeats its signal soon.
            self._signals.pop(address, None)
        new_addresses = []
        for address in sorted(current):
            if self.record_signal(address, leaving_signal.DRAIN_OBJECT, now):
                new_addresses.append(address)
        self._drained_addresses = current
        return new_addresses

    def _remove_absent(self, listed_addresses, now):
        for address in list(self._signals):
            if address in listed_addresses or address in self._drained_addresses:
                self._absent_since.pop(address, None)
                continue
            if now - self._absent_since.setdefault(address, now) > ABSENCE_TIMEOUT_S:
                del self._absent_since[address]
                del self._signals[address]

    def _remove_outdated(self, address, source, subject):
        """Remove a source's signals, direct and gossiped, about another subject at the address."""
        for signal_source in (source, leaving_signal.GOSSIP_BY_SOURCE[source]):
            signal = self._signals.get(address, {}).get(signal_source)
            if signal is not None and signal.subject not in ("", subject):
                self._remove_signal(address, signal_source)

    def _remove_signal(self, address, source):
        signals = self._signals[address]
        del signals[source]
        if not signals:
            del self._signals[address]
