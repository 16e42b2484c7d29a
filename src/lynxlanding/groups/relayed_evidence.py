"""Probe results received from other nodes of the data centre."""

import dataclasses

from lynxlanding.groups import clock_bounds, evidence_summary, probe_result


class RelayedEvidence:
    """Converts the newest documents of other nodes to probe results.

    The time of a result is the earliest local time at which the probe may have been sent. It does
    not depend on the arrival of the message, so delayed, repeated and reordered messages never make
    evidence appear fresher than it is. Failed probes of other nodes are not evidence; they only
    make this node probe the VM itself.
    """

    def __init__(self):
        self._clocks = clock_bounds.ClockBounds()
        self._reports = {}
        self._confirmations = {}
        self._parsed_reports = {}
        self._pending = set()

    @property
    def clocks(self):
        """Clock readings of the other nodes."""
        return self._clocks

    def record_document(self, node, key, document):
        """Record a document of another node; None removes it."""
        documents = self._reports if key == evidence_summary.REPORTS_KEY else self._confirmations
        if document is None:
            documents.pop(node, None)
            return
        documents[node] = document
        self._pending.add(node)

    def record_clock(self, node, clock, sent_at, remote_at):
        """Record a reading of another node's clock, as in ``ClockBounds.record``."""
        self._clocks.record(node, clock, sent_at, remote_at)
        self._pending.add(node)

    def retain(self, nodes):
        """Remove the data of all nodes except ``nodes``."""
        self._clocks.retain(nodes)
        for documents in (self._reports, self._confirmations, self._parsed_reports):
            for node in list(documents):
                if node not in nodes:
                    del documents[node]

    def suspected(self):
        """Return the VMs that at least one other node could not confirm as alive."""
        found = set()
        for document in self._confirmations.values():
            suspected = document.get("not") if isinstance(document, dict) else None
            if isinstance(suspected, list):
                found.update(vm for vm in suspected if isinstance(vm, str))
        return found

    def pop_results(self, now):
        """Return the successful probes in the documents that changed since the last call.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        list of ProbeResult
            Results with an empty address; ``sent_at`` is the earliest possible local time.
        """
        results = []
        pending, self._pending = self._pending, set()
        for node in sorted(pending):
            try:
                results.extend(self._combine(node, now))
            except (AttributeError, KeyError, TypeError, ValueError):
                # The node runs another software version; this node probes its VMs instead.
                self._confirmations.pop(node, None)
        return results

    def _combine(self, node, now):
        reports, confirmation = self._reports.get(node), self._confirmations.get(node)
        if reports is None or confirmation is None:
            return []
        confirmed_version = (confirmation["clock"], confirmation["version"])
        if confirmed_version != (reports["clock"], reports["version"]):
            return []
        probed_at = float(confirmation["at"]) - max(0.0, float(confirmation["age"]))
        sent_at = self._clocks.earliest_local_time(node, confirmation["clock"], probed_at, now)
        if sent_at is None:
            return []
        suspected = set(confirmation["not"])
        loads = confirmation["loads"]
        results = []
        parsed_document, parsed = self._parsed_reports.get(node, (None, None))
        if parsed_document is not reports:
            # Reports change rarely, so they are parsed once and not for each confirmation.
            parsed = evidence_summary.parse_reports(reports)
            self._parsed_reports[node] = (reports, parsed)
        for vm, report in parsed.items():
            if vm in suspected:
                continue
            if vm in loads:
                running, queued = loads[vm]
                updated = dataclasses.replace(report, running=int(running), queued=int(queued))
            else:
                updated = report
            results.append(probe_result.ProbeResult(vm, "", sent_at, updated))
        return results
