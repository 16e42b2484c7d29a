"""Publishes this node's probe results to the other nodes of its data centre."""

import dataclasses

from lynxlanding.groups import evidence_summary

# A confirmation carries one age for all its VMs. A VM whose newest success is older than this is
# excluded, because it would increase that age for all others.
MAX_CONFIRMED_AGE_S = 1.5


class EvidencePublisher:
    """Collects the newest results of the probes assigned to this node.

    Parameters
    ----------
    clock : str
        Identity of this node's clock, which changes with every start.
    interval_s : float
        Interval between confirmations.
    """

    def __init__(self, clock, interval_s):
        self._clock = clock
        self._interval_s = interval_s
        self._confirmed_at = float("-inf")
        self._suspected = []
        self._is_changed = False
        self._successes = {}
        self._failed_at = {}
        self._version = 0
        self._published_reports = None

    def record(self, result):
        """Record a probe sent by this node; results of other nodes are never forwarded."""
        if result.report is None:
            previous = self._failed_at.get(result.vm, result.sent_at)
            self._failed_at[result.vm] = max(previous, result.sent_at)
            self._is_changed |= result.vm not in self._suspected
            return
        previous = self._successes.get(result.vm)
        if previous is None or result.sent_at > previous[0]:
            self._successes[result.vm] = (result.sent_at, result.report)
            is_same = previous is not None and previous[1] == result.report
            self._is_changed |= not is_same or result.vm in self._suspected

    def documents(self, assigned, now):
        """Return the documents to publish by key; empty until a change or the next interval.

        Parameters
        ----------
        assigned : collection of str
            VMs that this node probes for the other nodes; results of all other VMs are dropped.
        now : float
            Monotonic time, in seconds.
        """
        # The caller polls at a fixed step. Publishing up to half a step early avoids publishing
        # half a step late.
        is_due = now - self._confirmed_at >= 0.9 * self._interval_s
        if not self._is_changed and not is_due:
            return {}
        self._drop_unassigned(assigned)
        reports, suspected, loads = {}, [], {}
        oldest_success_at = now
        for vm, (sent_at, report) in self._successes.items():
            has_load = report.running or report.queued
            reports[vm] = _without_load(report) if has_load else report
            if self._failed_at.get(vm, sent_at) > sent_at or now - sent_at > MAX_CONFIRMED_AGE_S:
                suspected.append(vm)
                continue
            oldest_success_at = min(oldest_success_at, sent_at)
            if has_load:
                loads[vm] = (report.running, report.queued)
        is_changed = reports != self._published_reports or sorted(suspected) != self._suspected
        self._is_changed = False
        if not is_changed and not is_due:
            return {}
        self._confirmed_at = now
        self._suspected = sorted(suspected)
        documents = {}
        if reports != self._published_reports:
            self._version += 1
            self._published_reports = reports
            documents[evidence_summary.REPORTS_KEY] = evidence_summary.report_document(
                self._clock, self._version, reports
            )
        documents[evidence_summary.CONFIRMATION_KEY] = evidence_summary.confirmation_document(
            self._clock, self._version, now, oldest_success_at, suspected, loads
        )
        return documents

    def _drop_unassigned(self, assigned):
        for vm in list(self._successes):
            if vm not in assigned:
                del self._successes[vm]
        for vm in list(self._failed_at):
            if vm not in assigned:
                del self._failed_at[vm]


def _without_load(report):
    return dataclasses.replace(report, running=0, queued=0)
