"""Owner of the burn counts of this incarnation."""

import pykka

from lynxlanding.observability.burn import counts, objectives


class BurnActor(pykka.ThreadingActor):
    """Counts good and bad events for the service-level objectives.

    Parameters
    ----------
    settings : ObjectivesSettings
        Objectives and thresholds.
    place : str
        Data centre of the node.
    """

    def __init__(self, settings, place):
        super().__init__()
        self._settings = settings
        self._place = place
        self._counts = counts.BurnCounts()

    def record_request(self, summary, now):
        """Count a finished request; ``now`` is in seconds since the epoch."""
        if not summary.service:
            return
        for objective, good, bad in objectives.judge_request(summary, self._settings):
            self._counts.add(now, (objective, "service", summary.service), good, bad)
            self._counts.add(now, (objective, "workspace", summary.workspace), good, bad)
            self._counts.add(now, (objective, "place", self._place), good, bad)

    def record_groups(self, observations, elapsed_s, now):
        """Count the seconds of groups and accelerators over the last ``elapsed_s`` seconds."""
        for seen in observations:
            up_s = elapsed_s if seen.serving else 0.0
            stranded_s = elapsed_s * seen.stranded
            usable_s = elapsed_s * (seen.accelerators - seen.stranded)
            for scope, name in (("service", seen.service), ("place", seen.place)):
                self._counts.add(
                    now, (objectives.GROUP_DOWNTIME, scope, name), up_s, elapsed_s - up_s
                )
                self._counts.add(now, (objectives.STRANDED, scope, name), usable_s, stranded_s)

    def document(self, now):
        """Return the counts as a JSON value."""
        self._counts.prune(now)
        return self._counts.to_document()

    def reset(self):
        """Start without counts, as a new incarnation."""
        self._counts = counts.BurnCounts()
