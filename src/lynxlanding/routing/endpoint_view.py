"""View of the endpoints, kept from events that lag or are lost."""

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
    """All endpoints that a node knows, and the pools that policies choose from.

    Methods take one event each; ``now`` is the caller's monotonic time in seconds. Events about
    unknown endpoints are ignored: the configuration alone creates and removes endpoints.

    Parameters
    ----------
    ejection : _ejection.EjectionRule, optional
        When a failing endpoint is ejected and probed.
    """

    def __init__(self, ejection=None):
        self._ejection = ejection or _ejection.EjectionRule()
        self._states = {}
        self._services = {}
        self._typical = {}
        self._pools = {}
        self._cache = cache_index.CacheIndex()
        self._timers = []
        self._node_count = 1

    @property
    def cache(self):
        """Index of cached prefixes."""
        return self._cache

    def services(self):
        """Return the names of the services with members."""
        return list(self._services)

    def states(self):
        """Return the states of all endpoints."""
        return self._states.values()

    def state(self, address):
        """Return the state of an endpoint, or None."""
        return self._states.get(address)

    def pool(self, service, adapter=None):
        """Return the pool of a service, or of its endpoints with an adapter loaded; or None."""
        return self._pools.get((service, adapter))

    def set_node_count(self, count):
        """Set the number of nodes that send requests to the same endpoints."""
        self._node_count = count
        for pool in self._pools.values():
            pool.node_count = count

    def set_members(self, service, members, now):
        """Replace the configured members of a service.

        Parameters
        ----------
        service : str
            Name of the service.
        members : iterable of endpoint_member.EndpointMember
            All members; the states of those that stay are kept.
        now : float
            Monotonic time in seconds.
        """
        wanted = {member.address: member for member in members}
        current = self._services.get(service, {})
        typical = self._typical.setdefault(service, _latency_median.TypicalLatency())
        added = []
        for address, member in wanted.items():
            state = self._states.get(address)
            if state is None:
                state = endpoint_state.EndpointState(member, typical)
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
                self._cache.discard(state.address)
        pool = self._find_or_create_pool(service, None)
        pool.update_members(added, [])
        self._services[service] = {address: self._states[address] for address in wanted}
        for address in wanted:
            self._refresh(self._states[address], now)

    def apply_load(self, report, now):
        """Apply a load report; returns whether it was used.

        Reports may come from any source and in any order. One that is not newer than the last
        one, or is older than 10 s, is ignored.
        """
        state = self._states.get(report.address)
        if state is None or report.measured_at <= state.measured_at:
            return False
        if report.measured_at < now - endpoint_state.MAX_REPORT_AGE_S:
            return False
        state.reachable_at = max(state.reachable_at, min(report.measured_at, now))
        old_adapters = state.adapters
        with self._load_change(state):
            if state.instance is not None and report.instance != state.instance:
                state.restart(report.instance)
                # What the earlier instance said of itself does not apply to this one.
                state.leaving_sources.discard(OWN_REPORT)
                self._cache.discard(report.address)
            state.instance = report.instance
            state.take_report(report)
        if report.draining and report.measured_at > state.leaving_ended_at:
            state.leaving_sources.add(OWN_REPORT)
        if report.adapters != old_adapters:
            self._move_between_adapters(state, set(old_adapters), set(report.adapters))
        self._refresh(state, now)
        return True

    def apply_cache(self, report):
        """Apply cache events that may be late or have gaps."""
        state = self._states.get(report.address)
        if state is None or (report.instance is not None and report.instance != state.instance):
            return
        self._cache.apply(report)

    def note_failed_poll(self, address, now):
        """Count a poll that got no response as a failure of the endpoint."""
        state = self._states.get(address)
        if state is None:
            return
        self._ejection.count_failure(state, now)
        self._refresh(state, now)

    def note_reachable(self, address, now):
        """Note that an endpoint responded to a poll, whatever the response."""
        state = self._states.get(address)
        if state is not None:
            state.reachable_at = max(state.reachable_at, now)

    def note_leaving(self, address, source, now):
        """Stop new requests to an endpoint because a source says that it is leaving."""
        state = self._states.get(address)
        if state is None:
            return
        state.leaving_sources.add(source)
        self._refresh(state, now)

    def end_leaving(self, address, now):
        """End the leaving state, by an accepted change only.

        Reports that were measured before this moment no longer set it.
        """
        state = self._states.get(address)
        if state is None:
            return
        state.leaving_sources.clear()
        state.leaving_ended_at = now
        self._refresh(state, now)

    def note_group_evidence(self, address, valid_until, now):
        """Use a replica group's endpoint until the evidence of all its VMs expires.

        Parameters
        ----------
        address : str
            Endpoint of the group.
        valid_until : float
            Monotonic time at which the evidence becomes stale; a time in the past withdraws it.
        now : float
            Monotonic time in seconds.
        """
        state = self._states.get(address)
        if state is None:
            return
        state.serving_until = valid_until
        self._refresh(state, now)

    def begin_request(self, address, now):
        """Count a request as in flight; returns the ticket for ``end_request``."""
        state = self._states[address]
        with self._load_change(state):
            state.change_in_flight(1, now)
        if state.ejected_until is not None:
            state.is_probing = True
            self._refresh(state, now)
        return in_flight_request.Ticket(address, state.generation)

    def end_request(self, request_ticket, result, now):
        """Release a request's count and learn from its result.

        Parameters
        ----------
        request_ticket : in_flight_request.Ticket
            Ticket of ``begin_request``.
        result : attempt_result.AttemptResult
            How the attempt ended.
        now : float
            Monotonic time in seconds.
        """
        state = self._states.get(request_ticket.address)
        if state is None or state.generation != request_ticket.generation:
            return
        with self._load_change(state):
            state.change_in_flight(-1, now)
        if result.first_token_s is not None:
            state.observe_first_token(result.first_token_s, now)
        if result.outcome == attempt_result.FAILED:
            self._ejection.count_failure(state, now)
        elif result.outcome == attempt_result.SUCCEEDED:
            self._ejection.count_success(state)
        elif state.in_flight == 0:
            # A cancelled probe showed nothing, so another request may probe.
            state.is_probing = False
        self._refresh(state, now)

    def advance(self, now):
        """Apply what is due by ``now``: stale group evidence and the end of ejections."""
        while self._timers and self._timers[0][0] <= now:
            _, address = heapq.heappop(self._timers)
            state = self._states.get(address)
            if state is None:
                continue
            state.timer_at = None
            self._refresh(state, now)

    def _is_in_service(self, state, now):
        member = state.member
        if state.is_leaving:
            return False
        if member.model is not None and state.model not in (None, member.model):
            return False
        reported = (state.group, state.epoch)
        if member.group is not None and reported != (member.group, member.epoch):
            return False
        return not _needs_evidence(member) or state.serving_until > now

    def _refresh(self, state, now):
        is_in_service = self._is_in_service(state, now)
        is_admitted = self._ejection.admits(state, now)
        for pool in state.pools:
            pool.set_usable(state, is_in_service and is_admitted, is_in_service and not is_admitted)
        due = self._ejection.next_check(state, now)
        if is_in_service and _needs_evidence(state.member):
            due = min(due, state.serving_until)
        if due < math.inf and (state.timer_at is None or due < state.timer_at):
            state.timer_at = due
            heapq.heappush(self._timers, (due, state.address))

    @contextlib.contextmanager
    def _load_change(self, state):
        load = state.load
        slots = state.slots
        yield
        load_delta = state.load - load
        slots_delta = state.slots - slots
        if load_delta == 0 and slots_delta == 0:
            return
        for pool in state.pools:
            pool.shift_load(state, load_delta, slots_delta)

    def _find_or_create_pool(self, service, adapter):
        key = (service, adapter)
        if key not in self._pools:
            self._pools[key] = endpoint_pool.EndpointPool(self._cache)
            self._pools[key].node_count = self._node_count
        return self._pools[key]

    def _move_between_adapters(self, state, old, new):
        for service, states in self._services.items():
            if states.get(state.address) is not state:
                continue
            for adapter in old - new:
                self._pools[(service, adapter)].update_members([], [state])
            for adapter in new - old:
                self._find_or_create_pool(service, adapter).update_members([state], [])


def _needs_evidence(member):
    return member.needs_evidence or member.group is not None
