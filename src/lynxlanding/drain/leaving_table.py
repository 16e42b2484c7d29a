"""Which endpoints are leaving."""

from lynxlanding.drain import leaving_signal
from lynxlanding.store import vm as platform_vm

# An address that the VM list has lacked for this long belongs to no request any more: the longest
# deadline has passed.
FORGET_S = 600.0


class LeavingTable:
    """Leaving endpoints by address.

    The first signal of any source stops new requests. A signal is not taken back when its source
    stops repeating it, because the VM list and the reports lag and may go back in time. Only an
    accepted change ends the leaving state: the removal of the ``drains`` object. An endpoint that
    comes back as another VM or another instance is another endpoint, to which the statement about
    the earlier one does not apply.
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
        """Return the sources of the signals by address."""
        return {address: tuple(sorted(signals)) for address, signals in self._signals.items()}

    def is_leaving(self, address):
        """Return whether the endpoint must receive no new request."""
        return address in self._signals

    def since(self, address):
        """Return the monotonic time of the first signal, or None."""
        signals = self._signals.get(address)
        if not signals:
            return None
        return min(signal.at for signal in signals.values())

    def note(self, address, source, now, subject=""):
        """Record a signal.

        Parameters
        ----------
        address : str
            ``host:port`` of the endpoint.
        source : str
            Source of the signal.
        now : float
            Monotonic time, in seconds.
        subject : str, optional
            VM name or instance that is leaving.

        Returns
        -------
        bool
            Whether the endpoint was not leaving before, so that other nodes are to be told.
        """
        is_new = address not in self._signals
        signals = self._signals.setdefault(address, {})
        if source not in signals or signals[source].subject != subject:
            signals[source] = leaving_signal.LeavingSignal(source, subject, now)
        return is_new

    def note_vm_list(self, vms, now):
        """Record the VM list; return the addresses that were not leaving before."""
        added = []
        for vm in vms:
            if vm.state == platform_vm.LEAVING:
                if self.note(vm.address, leaving_signal.VM_LIST, now, vm.name):
                    added.append(vm.address)
                continue
            self._drop_others(vm.address, leaving_signal.VM_LIST, vm.name)
        self._forget_absent({vm.address for vm in vms}, now)
        return added

    def note_report(self, address, instance, is_draining, now):
        """Record an endpoint's own report; return whether it was not leaving before."""
        if is_draining:
            return self.note(address, leaving_signal.OWN_REPORT, now, instance)
        self._drop_others(address, leaving_signal.OWN_REPORT, instance)
        return False

    def notices(self):
        """Return what this node saw itself, as a JSON document for the other nodes.

        Accepted ``drains`` objects are left out: they reach every node as configuration, which
        also tells it of their removal.
        """
        document = {}
        for address, signals in sorted(self._signals.items()):
            for source in leaving_signal.GOSSIP_BY_SOURCE:
                if source in signals:
                    document.setdefault(address, {})[source] = signals[source].subject
        return document

    def note_notices(self, document, now):
        """Record what another node saw; return the addresses that were not leaving before."""
        added = []
        for address, subjects in document.items():
            for source, subject in subjects.items():
                gossip_source = leaving_signal.GOSSIP_BY_SOURCE.get(source)
                if gossip_source and self.note(address, gossip_source, now, subject):
                    added.append(address)
        return added

    def apply_drains(self, addresses, now):
        """Take over the ``drains`` objects of an accepted configuration.

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
            # The removal was accepted; a source that still says "leaving" does so again soon.
            self._signals.pop(address, None)
        added = []
        for address in sorted(current):
            if self.note(address, leaving_signal.DRAIN_OBJECT, now):
                added.append(address)
        self._drained_addresses = current
        return added

    def _forget_absent(self, listed, now):
        for address in list(self._signals):
            if address in listed or address in self._drained_addresses:
                self._absent_since.pop(address, None)
                continue
            if now - self._absent_since.setdefault(address, now) > FORGET_S:
                del self._absent_since[address]
                del self._signals[address]

    def _drop_others(self, address, source, subject):
        """Drop what a source and its gossip said about another subject at the address."""
        for known in (source, leaving_signal.GOSSIP_BY_SOURCE[source]):
            earlier = self._signals.get(address, {}).get(known)
            if earlier is not None and earlier.subject not in ("", subject):
                self._drop(address, known)

    def _drop(self, address, source):
        signals = self._signals[address]
        del signals[source]
        if not signals:
            del self._signals[address]
