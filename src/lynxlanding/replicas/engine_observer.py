"""Observes the engines of fabric domains through registrations and probes."""

import time

from lynxlanding.replicas import engine_view, group_plan, member_prober

# An engine whose registration is missing counts as present for this long without an answer to a
# probe: two probes that time out take so long.
UNDECIDED_S = 1.2
# A sound engine may pause for more than a second, and its streams go on afterwards. A group with
# requests in flight is not given up sooner than its callers give up: 2 s after the last event,
# which is about 0.4 s before the first unanswered probe.
MAX_PAUSE_S = 1.6
# A head whose registration is missing gets no new requests. Its group stays for this long if it
# still works on earlier ones, about the time of a long answer.
HEAD_GRACE_S = 4.0
# An engine that has sent no report is probed for this long, enough for the probes that show whether
# it is silent.
SUSPICION_S = 2.0


class EngineObserver:
    """Builds the views that domains are planned from, and probes engines that are suspected.

    Parameters
    ----------
    engine_client : EngineClient
        Fetches the reports.
    count_in_flight : callable
        Returns the unfinished requests of all nodes at an endpoint, given its id.
    random_state : random.Random
        Source of randomness for choosing engines for control probes.
    """

    def __init__(self, engine_client, count_in_flight, random_state):
        self._count_in_flight = count_in_flight
        self._prober = member_prober.MemberProber(engine_client)
        self._random_state = random_state
        self._last_known_records = {}
        # When the registration of an engine was first missing, by endpoint id.
        self._missing_since = {}
        # Until when engines are probed that have sent no report, by endpoint id.
        self._suspected_until = {}

    def observe(self, plan, members, all_records, stalled_heads, now):
        """Return the ``EngineView`` of each engine of a domain by id, and start probes.

        Parameters
        ----------
        plan : DomainPlan
            Plan of the domain.
        members : list of EndpointRecord
            Registered engines of the domain.
        all_records : list of EndpointRecord
            Registered engines of all domains.
        stalled_heads : frozenset of str
            Ids of heads whose requests any node sees stalled.
        now : float
            Monotonic seconds.
        """
        self._probe_suspects(plan, members, all_records, stalled_heads, now)
        return self._build_views(plan, members, now)

    def suspect(self, endpoint_id):
        """Probe an engine from now on, since it has sent no report."""
        self._suspected_until[endpoint_id] = time.monotonic() + SUSPICION_S

    def restart_absences(self):
        """Measure from now on for how long engines are missing.

        While the node itself stood still, nothing showed that they were.
        """
        self._missing_since.clear()

    def remove_gone(self, records, planned):
        """Forget engines that are neither registered nor planned."""
        for endpoint_id in list(self._last_known_records):
            if endpoint_id not in records and endpoint_id not in planned:
                del self._last_known_records[endpoint_id]
                self._missing_since.pop(endpoint_id, None)
                self._suspected_until.pop(endpoint_id, None)
                self._prober.remove(endpoint_id)

    def _probe_control(self, probed, all_records, now):
        """Probe an engine that is not suspected.

        Its answer distinguishes failed engines from a node that is disconnected itself.
        """
        others = [record for record in all_records if record.endpoint_id not in probed]
        if others:
            self._prober.probe(self._random_state.choice(others), now)

    def _probe_suspects(self, plan, members, all_records, stalled_heads, now):
        """Probe members of stalled groups or without a registration, and silent engines."""
        for record in members:
            self._last_known_records[record.endpoint_id] = record
            self._missing_since.pop(record.endpoint_id, None)
        registered = {record.endpoint_id for record in members}
        probed = set()
        for group in plan.groups:
            suspects = [member for member in group.members if member not in registered]
            if group.head in stalled_heads and group.phase != group_plan.RETIRING:
                suspects = group.members
            for endpoint_id in suspects:
                record = self._last_known_records.get(endpoint_id)
                if record is not None:
                    self._prober.probe(record, now)
                    probed.add(endpoint_id)
        for record in members:
            is_suspected = now < self._suspected_until.get(record.endpoint_id, now)
            # The only way to learn that an engine without a planned group has gone on.
            if is_suspected or self._prober.is_silent(record.endpoint_id, now):
                self._prober.probe(record, now)
                probed.add(record.endpoint_id)
        if probed:
            self._probe_control(probed, all_records, now)

    def _build_views(self, plan, members, now):
        views = {}
        for record in members:
            is_silent = self._has_failed(record.endpoint_id, plan, now)
            views[record.endpoint_id] = engine_view.EngineView(record, True, is_silent)
        for group in plan.groups:
            for endpoint_id in group.members:
                if endpoint_id in views:
                    continue
                record = self._last_known_records.get(endpoint_id)
                is_head = endpoint_id == group.head
                is_present = record is not None and self._is_present(record, is_head, now)
                views[endpoint_id] = engine_view.EngineView(record, is_present, False)
        return views

    def _has_failed(self, endpoint_id, plan, now):
        """Return whether a registered engine has been silent for too long."""
        silent_since = self._prober.silent_since(endpoint_id, now)
        if silent_since is None:
            return False
        group = plan.find(endpoint_id)
        is_serving = group is not None and group.phase == group_plan.SERVING
        if not is_serving or now - silent_since > MAX_PAUSE_S:
            return True
        return not self._count_in_flight(group.head)

    def _is_present(self, record, is_head, now):
        """Return whether an engine without a registration still works for its group."""
        missing_s = now - self._missing_since.setdefault(record.endpoint_id, now)
        if self._prober.is_silent(record.endpoint_id, now):
            return False
        if not self._prober.has_answered(record, now):
            return missing_s <= UNDECIDED_S
        if not is_head:
            return True
        return missing_s <= HEAD_GRACE_S and self._prober.has_work(record.endpoint_id)
