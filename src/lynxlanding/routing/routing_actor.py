"""Owner of the endpoint view and of the counts of requests in flight."""

import dataclasses
import time

import numpy
import pykka

from lynxlanding.requests import caller_request
from lynxlanding.routing import (
    attempt_result,
    endpoint_member,
    endpoint_view,
    policies,
    policy,
    poll_result,
    prefix,
)

LEAVING_TABLE = "leaving_table"


class RoutingActor(pykka.ThreadingActor):
    """Chooses the endpoint of each attempt.

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
        self._policy = policies.create(policy_name)
        self._random_state = random_state or numpy.random.default_rng()
        self._view = endpoint_view.EndpointView()
        self._view.set_node_count(node_count)
        self._endpoints = {}
        self._group_endpoints = {}
        self._leaving = frozenset()
        # Counted apart from the view, which forgets endpoints that are no longer configured: a
        # leaving endpoint is released only when its last request has ended.
        self._in_flight = {}
        self._tickets = {}

    def set_endpoints(self, endpoints):
        """Replace the endpoints: a dict of (target kind, target) to a list of addresses."""
        self._endpoints = endpoints
        self._update_members()

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
            by_target.setdefault(target, {})[endpoint.address] = endpoint
        now = time.monotonic()
        ended = self._leaving - leaving
        has_new_members = _memberships(by_target) != _memberships(self._group_endpoints)
        self._group_endpoints = by_target
        self._leaving = leaving
        if has_new_members:
            self._update_members()
        for address in ended:
            self._view.end_leaving(address, now)
        for address in leaving:
            self._view.note_leaving(address, LEAVING_TABLE, now)
        for endpoint in endpoints:
            self._view.note_group_evidence(endpoint.address, endpoint.valid_until, now)

    def set_node_count(self, count):
        """Set the number of nodes that send requests to the same endpoints."""
        self._view.set_node_count(count)

    def in_flight(self):
        """Return the requests in flight by address."""
        return dict(self._in_flight)

    def choose(self, request, excluded=()):
        """Return an address and count the request there, or None if there is no endpoint.

        Endpoints in ``excluded`` have failed the same request already.
        """
        # The evidence of a group is compared with a fresh clock: after a pause of the node, the
        # view may be older than the bound.
        now = time.monotonic()
        self._view.advance(now)
        pool = self._view.pool((request.target_kind, request.target))
        if pool is None:
            return None
        key = prefix.key_of_prompt(request.prompt)
        route_request = policy.RouteRequest(key, frozenset(excluded))
        state = self._policy.choose(pool, route_request, now, self._random_state)
        if state is None:
            return None
        address = state.address
        ticket = self._view.begin_request(address, now)
        self._tickets.setdefault((request.request_id, address), []).append(ticket)
        self._in_flight[address] = self._in_flight.get(address, 0) + 1
        return address

    def release(self, request_id, address, failed, first_token_s=None, succeeded=True):
        """Take an attempt out of the counts.

        Parameters
        ----------
        request_id, address : str
            Request and endpoint of the attempt.
        failed : bool
            Whether the endpoint or the connection to it failed.
        first_token_s : float, optional
            Time to the first token or, of a plain service, to the response, in seconds.
        succeeded : bool, optional
            Whether the endpoint responded properly; False if the caller left before.
        """
        self._in_flight[address] -= 1
        if self._in_flight[address] == 0:
            del self._in_flight[address]
        tickets = self._tickets[(request_id, address)]
        ticket = tickets.pop()
        if not tickets:
            del self._tickets[(request_id, address)]
        outcome = attempt_result.SUCCEEDED if succeeded else attempt_result.CANCELLED
        if failed:
            outcome = attempt_result.FAILED
        result = attempt_result.AttemptResult(outcome, first_token_s)
        self._view.end_request(ticket, result, time.monotonic())

    def poll_targets(self):
        """Return the endpoints to poll."""
        targets = []
        for target, addresses in self._members().items():
            has_cache = target[0] == caller_request.MODEL
            for member in addresses:
                state = self._view.state(member.address)
                targets.append(
                    poll_result.PollTarget(
                        member.address,
                        has_cache,
                        self._view.cache.sequence(member.address),
                        state.instance,
                    )
                )
        return targets

    def apply_polls(self, results):
        """Take the results of polls, from any source."""
        now = time.monotonic()
        group_addresses = set()
        for endpoints in self._group_endpoints.values():
            group_addresses.update(endpoints)
        for result in results:
            if not result.is_reachable:
                self._view.note_failed_poll(result.address, now)
                continue
            self._view.note_reachable(result.address, now)
            if result.load is not None:
                report = result.load
                if report.address in group_addresses:
                    # The domain's owner drains engines of groups and takes them back.
                    report = dataclasses.replace(report, draining=False)
                self._view.apply_load(report, now)
            if result.cache is not None:
                self._view.apply_cache(result.cache)

    def pool_slots(self):
        """Return the slots of the usable endpoints by target."""
        slots = {}
        now = time.monotonic()
        self._view.advance(now)
        for target in set(self._endpoints) | set(self._group_endpoints):
            pool = self._view.pool(target)
            slots[target] = 0
            if pool is not None:
                # Ejected endpoints still get requests if no other endpoint is left.
                slots[target] = pool.total_slots or sum(s.slots for s in pool.candidates)
        return slots

    def _members(self):
        members = {}
        for target, addresses in self._endpoints.items():
            members[target] = [endpoint_member.EndpointMember(address) for address in addresses]
        for target, endpoints in self._group_endpoints.items():
            for endpoint in endpoints.values():
                # The domain's owner compared the reported group and epoch with the domain object.
                member = endpoint_member.EndpointMember(endpoint.address, needs_evidence=True)
                members.setdefault(target, []).append(member)
        return members

    def _update_members(self):
        now = time.monotonic()
        members = self._members()
        for target in self._view.services():
            if target not in members:
                self._view.set_members(target, [], now)
        for target, target_members in members.items():
            self._view.set_members(target, target_members, now)
        for address in self._leaving:
            self._view.note_leaving(address, LEAVING_TABLE, now)
        for endpoints in self._group_endpoints.values():
            for endpoint in endpoints.values():
                self._view.note_group_evidence(endpoint.address, endpoint.valid_until, now)


def _memberships(by_target):
    return {target: frozenset(endpoints) for target, endpoints in by_target.items()}
