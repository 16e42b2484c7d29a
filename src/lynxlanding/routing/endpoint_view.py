"""State of all endpoints, built from events that may be late or lost."""

import contextlib
import heapq
import math

from lynxlanding.routing import (
    _ejection,
    _latency_median,
    attempt_result,
    cache_index,
    endpoint_pool,
    endpoint_state,
    in_flight_request,
)

OWN_REPORT = "own_report"


class EndpointView:
    """States of all endpoints known to a node, and the pools that policies choose from.

    Each method processes one event; ``now`` is the caller's monotonic time in seconds. Events of
    unknown endpoints are ignored, because only ``set_members`` adds and removes endpoints.

    Parameters
    ----------
    ejection : _ejection.EjectionRule, optional
        Decides when a failing endpoint is ejected and probed.
    """

    def __init__(self, ejection=None):
        self._ejection = ejection or _ejection.EjectionRule()
        self._states = {}
        self._services = {}
        self._service_medians = {}
        self._pools = {}
        self._cache = cache_index.CacheIndex()
        self._timers = []
        self._node_count = 1

    @property
    def cache(self):
        """Index of cached prefixes."""
        return self._cache

    def services(self):
        """Return the names of all services whose members have been set."""
        return list(self._services)

    def states(self):
        """Return the states of all endpoints."""
        return self._states.values()

    def state(self, address):
        """Return the state of an endpoint, or None if it is unknown."""
        return self._states.get(address)

    def pool(self, service, adapter=None):
        """Return the pool of a service, limited to endpoints with an adapter if given, or None."""
        return self._pools.get((service, adapter))

    def set_node_count(self, count):
        """Set the number of nodes that send requests to the same endpoints."""
        self._node_count = count
        for pool in self._pools.values():
            pool.node_count = count

    def set_members(self, service, members, now):
        """Replace the members of a service.

        Parameters
        ----------
        service : str
            Name of the service.
        members : iterable of endpoint_member.EndpointMember
            All members; endpoints that remain members keep their state.
        now : float
            Monotonic time in seconds.
        """
        wanted = {member.address: member for member in members}
        current = self._services.get(service, {})
        service_median = self._service_medians.setdefault(service, _latency_median.LatencyMedian())
        added = []
        for address, member in wanted.items():
            state = self._states.get(address)
            if state is None:
                state = endpoint_state.EndpointState(member, service_median)
                self._states[address] = state
            state.member = member
            if address not in current:
                added.append(state)
        removed = [state for address, state in current.items() if address not in wanted]
        for state in removed:
            for (pool_service, _), pool in self._pools.items():
                if pool_service == service and pool in state.pools:
                    pool.update_members([], [state])
            if not state.pools:
                del self._states[state.address]
                self._cache.forget(state.address)
        pool = self._find_or_create_pool(service, None)
        pool.update_members(added, [])
        self._services[service] = {address: self._states[address] for address in wanted}
        for address in wanted:
            self._update_usability(self._states[address], now)

    def apply_load(self, report, now):
        """Apply a load report; return whether it was used.

        Reports may come from any source and in any order. A report is ignored if it is not newer
        than the last one or if it is older than 10 s.
        """
        state = self._states.get(report.address)
        if state is None or report.measured_at <= state.measured_at:
            return False
        if report.measured_at < now - endpoint_state.MAX_REPORT_AGE_S:
            return False
        state.last_reachable_at = max(state.last_reachable_at, min(report.measured_at, now))
        old_adapters = state.adapters
        with self._track_load_change(state):
            if state.instance is not None and report.instance != state.instance:
                state.reset_for_instance(report.instance)
                # That the previous instance was draining does not apply to this one.
                state.leaving_sources.discard(OWN_REPORT)
                self._cache.forget(report.address)
            state.instance = report.instance
            state.apply_report(report)
        if report.draining and report.measured_at > state.leaving_cleared_at:
            state.leaving_sources.add(OWN_REPORT)
        if report.adapters != old_adapters:
            self._update_adapter_pools(state, set(old_adapters), set(report.adapters))
        self._update_usability(state, now)
        return True

    def apply_cache(self, report):
        """Apply a cache report, whose events may be late or have gaps."""
        state = self._states.get(report.address)
        if state is None or (report.instance is not None and report.instance != state.instance):
            return
        self._cache.apply(report)

    def record_failed_poll(self, address, now):
        """Record a poll without response, which counts as a failure of the endpoint."""
        state = self._states.get(address)
        if state is None:
            return
        self._ejection.record_failure(state, now)
        self._update_usability(state, now)

    def record_poll_response(self, address, now):
        """Record that an endpoint responded to a poll, with any status."""
        state = self._states.get(address)
        if state is not None:
            state.last_reachable_at = max(state.last_reachable_at, now)

    def mark_leaving(self, address, source, now):
        """Stop new requests to an endpoint that a source reports as leaving."""
        state = self._states.get(address)
        if state is None:
            return
        state.leaving_sources.add(source)
        self._update_usability(state, now)

    def clear_leaving(self, address, now):
        """End the leaving state of an endpoint after an accepted change.

        Only accepted changes end it. Load reports that were measured before ``now`` do not set it
        again.
        """
        state = self._states.get(address)
        if state is None:
            return
        state.leaving_sources.clear()
        state.leaving_cleared_at = now
        self._update_usability(state, now)

    def set_group_validity(self, address, valid_until, now):
        """Set until when there is evidence that all VMs of an endpoint's replica group work.

        An endpoint that requires such evidence is used only until then.

        Parameters
        ----------
        address : str
            Address of the group's endpoint.
        valid_until : float
            Monotonic time at which the evidence expires, in seconds. A time in the past stops
            requests to the endpoint immediately.
        now : float
            Monotonic time in seconds.
        """
        state = self._states.get(address)
        if state is None:
            return
        state.group_valid_until = valid_until
        self._update_usability(state, now)

    def begin_request(self, address, now):
        """Count a request as in flight; return its handle for ``end_request``."""
        state = self._states[address]
        with self._track_load_change(state):
            state.adjust_in_flight(1, now)
        if state.ejected_until is not None:
            state.is_probing = True
            self._update_usability(state, now)
        return in_flight_request.InFlightRequest(address, state.generation)

    def end_request(self, request, result, now):
        """Stop counting a request and update latency and failures from its result.

        Parameters
        ----------
        request : in_flight_request.InFlightRequest
            Handle returned by ``begin_request``.
        result : attempt_result.AttemptResult
            How the attempt ended.
        now : float
            Monotonic time in seconds.
        """
        state = self._states.get(request.address)
        if state is None or state.generation != request.generation:
            return
        with self._track_load_change(state):
            state.adjust_in_flight(-1, now)
        if result.first_token_s is not None:
            state.observe_first_token(result.first_token_s, now)
        if result.outcome == attempt_result.FAILED:
            self._ejection.record_failure(state, now)
        elif result.outcome == attempt_result.SUCCEEDED:
            self._ejection.record_success(state)
        elif state.in_flight == 0:
            # A cancelled probe has no result, so another request may be the probe.
            state.is_probing = False
        self._update_usability(state, now)

    def advance(self, now):
        """Process the timers that are due: ends of ejections and expired group evidence."""
        while self._timers and self._timers[0][0] <= now:
            _, address = heapq.heappop(self._timers)
            state = self._states.get(address)
            if state is None:
                continue
            state.next_timer_at = None
            self._update_usability(state, now)

    def _is_eligible(self, state, now):
        member = state.member
        if state.is_leaving:
            return False
        if member.model is not None and state.model not in (None, member.model):
            return False
        reported_group = (state.group, state.epoch)
        if member.group is not None and reported_group != (member.group, member.epoch):
            return False
        return not _needs_evidence(member) or state.group_valid_until > now

    def _update_usability(self, state, now):
        is_eligible = self._is_eligible(state, now)
        is_allowed = self._ejection.allows_request(state, now)
        for pool in state.pools:
            pool.set_usable(state, is_eligible and is_allowed, is_eligible and not is_allowed)
        due = self._ejection.next_check_at(state, now)
        if is_eligible and _needs_evidence(state.member):
            due = min(due, state.group_valid_until)
        if due < math.inf and (state.next_timer_at is None or due < state.next_timer_at):
            state.next_timer_at = due
            heapq.heappush(self._timers, (due, state.address))

    @contextlib.contextmanager
    def _track_load_change(self, state):
        load = state.load
        slots = state.slots
        yield
        load_delta = state.load - load
        slots_delta = state.slots - slots
        if load_delta == 0 and slots_delta == 0:
            return
        for pool in state.pools:
            pool.adjust_totals(state, load_delta, slots_delta)

    def _find_or_create_pool(self, service, adapter):
        key = (service, adapter)
        if key not in self._pools:
            self._pools[key] = endpoint_pool.EndpointPool(self._cache)
            self._pools[key].node_count = self._node_count
        return self._pools[key]

    def _update_adapter_pools(self, state, old, new):
        for service, states in self._services.items():
            if states.get(state.address) is not state:
                continue
            for adapter in old - new:
                self._pools[(service, adapter)].update_members([], [state])
            for adapter in new - old:
                self._find_or_create_pool(service, adapter).update_members([state], [])


def _needs_evidence(member):
    return member.needs_evidence or member.group is not None
