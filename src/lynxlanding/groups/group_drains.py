"""Detects when no request runs on a draining group any more."""

from lynxlanding.drain import idle_tracker
from lynxlanding.groups import group_record


class GroupDrains:
    """Tracks drains of groups by the reports of their leaders' engines.

    An engine counts the requests of all nodes, so the end of a drain does not depend on reports of
    nodes that may be partitioned.

    Parameters
    ----------
    rules : ReleaseRules
        Limits for the end of a drain.
    """

    def __init__(self, rules):
        self._rules = rules
        self._trackers = {}

    def record_report(self, address, sent_at, report):
        """Record a report of an engine that was requested at ``sent_at``."""
        for leader_address, tracker in self._trackers.values():
            if leader_address == address:
                tracker.record_report(sent_at, report.running + report.queued)

    def drained(self, domain, now, in_flight):
        """Return the names of the draining groups on which no request runs any more.

        Parameters
        ----------
        domain : Domain
            Domain object.
        now : float
            Monotonic time, in seconds.
        in_flight : dict of str to int
            This node's requests in flight by address.
        """
        drained = []
        for group in domain.groups.values():
            key = (group.name, group.epoch)
            if group.state != group_record.DRAINING:
                self._trackers.pop(key, None)
                continue
            address = domain.vms[group.leader].address
            if key not in self._trackers:
                self._trackers[key] = (address, idle_tracker.IdleTracker(now, self._rules))
            if self._trackers[key][1].is_released(now) and in_flight.get(address, 0) == 0:
                drained.append(group.name)
        return drained
