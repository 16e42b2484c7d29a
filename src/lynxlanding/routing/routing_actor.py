"""Owner of the endpoint view and of the counts of requests in flight."""

import pykka


class RoutingActor(pykka.ThreadingActor):
    """Chooses the endpoint with the fewest own requests in flight."""

    def __init__(self):
        super().__init__()
        self._endpoints = {}
        self._in_flight = {}

    def set_endpoints(self, endpoints):
        """Replace the endpoints: a dict of (target kind, target) to a list of addresses."""
        self._endpoints = endpoints

    def choose(self, request, excluded=()):
        """Return an address and count the request there, or None if there is no endpoint.

        Endpoints in ``excluded`` have failed the same request already.
        """
        addresses = []
        for address in self._endpoints.get((request.target_kind, request.target), []):
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

    def in_flight(self):
        """Return the number of own requests in flight by address."""
        return dict(self._in_flight)
