"""What this node's own probes gave, as documents for the other nodes of its data centre."""

import dataclasses

from lynxlanding.groups import evidence_summary

# A confirmation carries one age for all VMs. A VM with an older result than this is left out, so
# that it does not make the others look old.
MAX_AGE_S = 1.5


class EvidencePublisher:
    """Newest results of the probes that are assigned to this node.

    Parameters
    ----------
    clock : str
        Identity of this node's clock, different after every start.
    interval_s : float
        Interval between confirmations.
    """

    def __init__(self, clock, interval_s):
        self._clock = clock
        self._interval_s = interval_s
        self._confirmed_at = float("-inf")
        self._suspected = []
        self._is_changed = False
        self._alive = {}
        self._failed_at = {}
        self._version = 0
        self._published = None

    def note(self, result):
        """Record a probe that this node sent itself; evidence of others is never passed on."""
        if result.report is None:
            known = self._failed_at.get(result.vm, result.sent_at)
            self._failed_at[result.vm] = max(known, result.sent_at)
            self._is_changed |= result.vm not in self._suspected
            return
        known = self._alive.get(result.vm)
        if known is None or result.sent_at > known[0]:
            self._alive[result.vm] = (result.sent_at, result.report)
            is_same = known is not None and known[1] == result.report
            self._is_changed |= not is_same or result.vm in self._suspected

    def documents(self, assigned, now):
        """Return the documents to publish by key; none until something changes or is due.

        Parameters
        ----------
        assigned : collection of str
            VMs that this node probes for the others; results of other VMs are dropped.
        now : float
            Monotonic time, in seconds.
        """
        # The caller comes by in steps; half a step early is better than half a step late.
        is_due = now - self._confirmed_at >= 0.9 * self._interval_s
        if not self._is_changed and not is_due:
            return {}
        self._drop_others(assigned)
        reports, suspected, loads = {}, [], {}
        alive_at = now
        for vm, (sent_at, report) in self._alive.items():
            has_load = report.running or report.queued
            reports[vm] = _without_load(report) if has_load else report
            if self._failed_at.get(vm, sent_at) > sent_at or now - sent_at > MAX_AGE_S:
                suspected.append(vm)
                continue
            alive_at = min(alive_at, sent_at)
            if has_load:
                loads[vm] = (report.running, report.queued)
        is_changed = reports != self._published or sorted(suspected) != self._suspected
        self._is_changed = False
        if not is_changed and not is_due:
            return {}
        self._confirmed_at = now
        self._suspected = sorted(suspected)
        documents = {}
        if reports != self._published:
            self._version += 1
            self._published = reports
            documents[evidence_summary.REPORTS_KEY] = evidence_summary.report_document(
                self._clock, self._version, reports
            )
        documents[evidence_summary.CONFIRMATION_KEY] = evidence_summary.confirmation_document(
            self._clock, self._version, now, alive_at, suspected, loads
        )
        return documents

    def _drop_others(self, assigned):
        for vm in list(self._alive):
            if vm not in assigned:
                del self._alive[vm]
        for vm in list(self._failed_at):
            if vm not in assigned:
                del self._failed_at[vm]


def _without_load(report):
    return dataclasses.replace(report, running=0, queued=0)
