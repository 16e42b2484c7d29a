"""Owner of the endpoint view and of the counts of requests in flight."""

import time

import pykka

from lynxlanding.requests import caller_request


class RoutingActor(pykka.ThreadingActor):
    """Chooses the endpoint with the fewest own requests in flight."""

    def __init__(self):
        super().__init__()
        self._endpoints = {}
        self._in_flight = {}
        self._group_endpoints = {}
        self._leaving = frozenset()

    def set_endpoints(self, endpoints):
        """Replace the endpoints: a dict of (target kind, target) to a list of addresses."""
        self._endpoints = endpoints

    def set_group_endpoints(self, endpoints, leaving):
        """Replace the endpoints of replica groups and the leaving addresses.

        Parameters
        ----------
        endpoints : list of GroupEndpoint
            Groups that serve.
        leaving : frozenset of str
            Addresses that receive no new request, also among the fixed endpoints.
        """
        by_target = {}
        for endpoint in endpoints:
            target = (caller_request.MODEL, endpoint.model)
            by_target.setdefault(target, []).append(endpoint)
        self._group_endpoints = by_target
        self._leaving = leaving

    def in_flight(self):
        """Return the requests in flight by address."""
        return dict(self._in_flight)

    def choose(self, request, excluded=()):
        """Return an address and count the request there, or None if there is no endpoint.

        Endpoints in ``excluded`` have failed the same request already.
        """
        addresses = []
        for address in self._addresses((request.target_kind, request.target)):
            if address not in excluded:
                addresses.append(address)
        if not addresses:
            return None
        address = min(addresses, key=lambda item: self._in_flight.get(item, 0))
        self._in_flight[address] = self._in_flight.get(address, 0) + 1
        return address

    def release(self, request_id, address, failed):
        """Take an attempt out of the counts."""
        del request_id, failed
        self._in_flight[address] -= 1

    def _addresses(self, target):
        # The evidence of a group is compared with a fresh clock: after a pause of the node, the
        # view may be older than the bound.
        now = time.monotonic()
        addresses = []
        for address in self._endpoints.get(target, ()):
            if address not in self._leaving:
                addresses.append(address)
        for endpoint in self._group_endpoints.get(target, ()):
            if endpoint.address not in self._leaving and now <= endpoint.valid_until:
                addresses.append(endpoint.address)
        return addresses
