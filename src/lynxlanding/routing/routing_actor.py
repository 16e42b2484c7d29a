"""Actor that routes requests and counts those in flight."""

import dataclasses
import time

import numpy
import pykka

from lynxlanding.requests import caller_request
from lynxlanding.routing import (
    attempt_result,
    endpoint_member,
    endpoint_view,
    policy,
    policy_registry,
    poll_result,
    prefix,
)

LEAVING_TABLE = "leaving_table"


class RoutingActor(pykka.ThreadingActor):
    """Chooses the endpoint of each attempt and counts the requests in flight.

    Parameters
    ----------
    policy_name : str, optional
        Name of the routing policy.
    random_state : numpy.random.Generator, optional
        Source of randomness.
    node_count : int, optional
        Number of nodes that send requests to the same endpoints.
    """

    def __init__(self, policy_name="prefix_affinity", random_state=None, node_count=1):
        super().__init__()
        self._policy = policy_registry.create(policy_name)
        self._random_state = random_state or numpy.random.default_rng()
        self._view = endpoint_view.EndpointView()
        self._view.set_node_count(node_count)
        self._configured_endpoints = {}
        self._group_endpoints = {}
        self._leaving_addresses = frozenset()
        # Counted separately from the view, which removes endpoints that are no longer configured: a
        # leaving endpoint may be shut down only when its last request has ended.
        self._in_flight_counts = {}
        self._in_flight_requests = {}

    def set_endpoints(self, endpoints):
        """Replace the configured endpoints.

        Parameters
        ----------
        endpoints : dict
            Maps (target kind, target) to a list of addresses.
        """
        self._configured_endpoints = endpoints
        self._update_members()

    def set_group_endpoints(self, endpoints, leaving_addresses):
        """Replace the endpoints of replica groups and the addresses of leaving endpoints.

        Parameters
        ----------
        endpoints : list of GroupEndpoint
            Endpoints of the groups that serve.
        leaving_addresses : frozenset of str
            Addresses that receive no new requests, including those of configured endpoints.
        """
        group_endpoints = {}
        for endpoint in endpoints:
            target = (caller_request.MODEL, endpoint.model)
            group_endpoints.setdefault(target, {})[endpoint.address] = endpoint
        now = time.monotonic()
        no_longer_leaving = self._leaving_addresses - leaving_addresses
        members_changed = _addresses_by_target(group_endpoints) != _addresses_by_target(
            self._group_endpoints
        )
        self._group_endpoints = group_endpoints
        self._leaving_addresses = leaving_addresses
        if members_changed:
            self._update_members()
        for address in no_longer_leaving:
            self._view.clear_leaving(address, now)
        for address in leaving_addresses:
            self._view.mark_leaving(address, LEAVING_TABLE, now)
        for endpoint in endpoints:
            self._view.set_group_validity(endpoint.address, endpoint.valid_until, now)

    def set_node_count(self, count):
        """Set the number of nodes that send requests to the same endpoints."""
        self._view.set_node_count(count)

    def in_flight(self):
        """Return the numbers of requests in flight by address."""
        return dict(self._in_flight_counts)

    def choose(self, request, excluded_addresses=()):
        """Return the address of the chosen endpoint, or None if there is none.

        The request is counted as in flight there until ``end_attempt``. ``excluded_addresses`` are
        the endpoints at which earlier attempts of the request failed.
        """
        # Group evidence is checked against the current time before each decision: after a pause of
        # the node, it may have expired although the view still has the group as usable.
        now = time.monotonic()
        self._view.advance(now)
        pool = self._view.pool((request.target_kind, request.target))
        if pool is None:
            return None
        key = prefix.prefix_key_from_json(request.prompt)
        route_request = policy.RouteRequest(key, frozenset(excluded_addresses))
        state = self._policy.choose(pool, route_request, now, self._random_state)
        if state is None:
            return None
        address = state.address
        in_flight_request = self._view.begin_request(address, now)
        self._in_flight_requests.setdefault((request.request_id, address), []).append(
            in_flight_request
        )
        self._in_flight_counts[address] = self._in_flight_counts.get(address, 0) + 1
        return address

    def end_attempt(self, request_id, address, failed, first_token_s=None, succeeded=True):
        """Record the end of an attempt and stop counting it.

        Parameters
        ----------
        request_id, address : str
            Id of the request, and address of the endpoint of the attempt.
        failed : bool
            Whether the endpoint or the connection to it failed.
        first_token_s : float, optional
            Time to the first token or, for a plain service, to the response, in seconds.
        succeeded : bool, optional
            Whether the endpoint responded correctly; False if the caller disconnected before.
        """
        self._in_flight_counts[address] -= 1
        if self._in_flight_counts[address] == 0:
            del self._in_flight_counts[address]
        in_flight_requests = self._in_flight_requests[(request_id, address)]
        in_flight_request = in_flight_requests.pop()
        if not in_flight_requests:
            del self._in_flight_requests[(request_id, address)]
        outcome = attempt_result.SUCCEEDED if succeeded else attempt_result.CANCELLED
        if failed:
            outcome = attempt_result.FAILED
        result = attempt_result.AttemptResult(outcome, first_token_s)
        self._view.end_request(in_flight_request, result, time.monotonic())

    def poll_targets(self):
        """Return the endpoints to poll."""
        targets = []
        for target, members in self._collect_members().items():
            has_cache_events = target[0] == caller_request.MODEL
            for member in members:
                state = self._view.state(member.address)
                targets.append(
                    poll_result.PollTarget(
                        member.address,
                        has_cache_events,
                        self._view.cache.last_sequence(member.address),
                        state.instance,
                    )
                )
        return targets

    def apply_poll_results(self, results):
        """Update the view from the results of polls."""
        now = time.monotonic()
        group_addresses = set()
        for endpoints in self._group_endpoints.values():
            group_addresses.update(endpoints)
        for result in results:
            if not result.is_reachable:
                self._view.record_failed_poll(result.address, now)
                continue
            self._view.record_poll_response(result.address, now)
            if result.load is not None:
                report = result.load
                if report.address in group_addresses:
                    # The node that owns the domain decides when engines of groups drain and when
                    # they are used again.
                    report = dataclasses.replace(report, draining=False)
                self._view.apply_load(report, now)
            if result.cache is not None:
                self._view.apply_cache(result.cache)

    def pool_slots(self):
        """Return the total slots of the usable endpoints by target."""
        slots = {}
        now = time.monotonic()
        self._view.advance(now)
        for target in set(self._configured_endpoints) | set(self._group_endpoints):
            pool = self._view.pool(target)
            slots[target] = 0
            if pool is not None:
                # Ejected endpoints still receive requests if no endpoint is usable.
                slots[target] = pool.total_slots or sum(state.slots for state in pool.candidates)
        return slots

    def _collect_members(self):
        members = {}
        for target, addresses in self._configured_endpoints.items():
            members[target] = [endpoint_member.EndpointMember(address) for address in addresses]
        for target, endpoints in self._group_endpoints.items():
            for endpoint in endpoints.values():
                # The node that owns the domain has already compared the reported group and epoch
                # with the stored domain.
                member = endpoint_member.EndpointMember(endpoint.address, needs_evidence=True)
                members.setdefault(target, []).append(member)
        return members

    def _update_members(self):
        now = time.monotonic()
        members = self._collect_members()
        for target in self._view.services():
            if target not in members:
                self._view.set_members(target, [], now)
        for target, target_members in members.items():
            self._view.set_members(target, target_members, now)
        for address in self._leaving_addresses:
            self._view.mark_leaving(address, LEAVING_TABLE, now)
        for endpoints in self._group_endpoints.values():
            for endpoint in endpoints.values():
                self._view.set_group_validity(endpoint.address, endpoint.valid_until, now)


def _addresses_by_target(group_endpoints):
    return {target: frozenset(endpoints) for target, endpoints in group_endpoints.items()}
