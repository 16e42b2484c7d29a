"""Probe results of the other nodes of the data centre."""

import dataclasses

from lynxlanding.groups import clock_bounds, evidence_summary, probe_result


class RelayedEvidence:
    """Newest documents of each node, and the signs of life that follow from them.

    A sign of life counts from the earliest time of this node's clock at which the probe can have
    been sent. The arrival of a message plays no part, so delayed, repeated and reordered messages
    never make evidence look younger. Failures of other nodes are not evidence; they only make this
    node probe the VM itself.
    """

    def __init__(self):
        self._clocks = clock_bounds.ClockBounds()
        self._reports = {}
        self._confirmations = {}
        self._parsed = {}
        self._pending = set()

    @property
    def clocks(self):
        """Readings of the other nodes' clocks."""
        return self._clocks

    def note(self, node, key, document):
        """Record a document of another node; None withdraws it."""
        held = self._reports if key == evidence_summary.REPORTS_KEY else self._confirmations
        if document is None:
            held.pop(node, None)
            return
        held[node] = document
        self._pending.add(node)

    def note_clock(self, node, clock, sent_at, remote_at):
        """Record a reading of another node's clock, as in ``ClockBounds.record``."""
        self._clocks.record(node, clock, sent_at, remote_at)
        self._pending.add(node)

    def keep(self, nodes):
        """Forget everything about all nodes but ``nodes``."""
        self._clocks.keep(nodes)
        for held in (self._reports, self._confirmations, self._parsed):
            for node in list(held):
                if node not in nodes:
                    del held[node]

    def suspected(self):
        """Return the VMs whose newest probe by some other node gave nothing."""
        found = set()
        for document in self._confirmations.values():
            missing = document.get("not") if isinstance(document, dict) else None
            if isinstance(missing, list):
                found.update(vm for vm in missing if isinstance(vm, str))
        return found

    def take_results(self, now):
        """Return the signs of life of the documents that changed since the last call.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        list of ProbeResult
            Results with an empty address; ``sent_at`` is the earliest possible time.
        """
        results = []
        pending, self._pending = self._pending, set()
        for node in sorted(pending):
            try:
                results.extend(self._combine(node, now))
            except (AttributeError, KeyError, TypeError, ValueError):
                # A node of another version; its VMs are probed by this node.
                self._confirmations.pop(node, None)
        return results

    def _combine(self, node, now):
        reports, confirmation = self._reports.get(node), self._confirmations.get(node)
        if reports is None or confirmation is None:
            return []
        names = (confirmation["clock"], confirmation["version"])
        if names != (reports["clock"], reports["version"]):
            return []
        probed_at = float(confirmation["at"]) - max(0.0, float(confirmation["age"]))
        sent_at = self._clocks.earliest(node, confirmation["clock"], probed_at, now)
        if sent_at is None:
            return []
        missing = set(confirmation["not"])
        loads = confirmation["loads"]
        results = []
        parsed_from, parsed = self._parsed.get(node, (None, None))
        if parsed_from is not reports:
            # Reports change rarely, so that parsing them for each confirmation would be waste.
            parsed = evidence_summary.parse_reports(reports)
            self._parsed[node] = (reports, parsed)
        for vm, report in parsed.items():
            if vm in missing:
                continue
            if vm in loads:
                running, queued = loads[vm]
                loaded = dataclasses.replace(report, running=int(running), queued=int(queued))
            else:
                loaded = report
            results.append(probe_result.ProbeResult(vm, "", sent_at, loaded))
        return results
