"""Actor that owns the burn counts of the current incarnation."""

import pykka

from lynxlanding.observability.burn import counts, objectives


class BurnActor(pykka.ThreadingActor):
    """Counts good and bad events for the service-level objectives.

    Parameters
    ----------
    settings : ObjectivesSettings
        Targets and thresholds of the objectives.
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
        for objective, good, bad in objectives.classify_request(summary, self._settings):
            self._counts.add(now, (objective, "service", summary.service), good, bad)
            self._counts.add(now, (objective, "workspace", summary.workspace), good, bad)
            self._counts.add(now, (objective, "place", self._place), good, bad)

    def record_groups(self, observations, elapsed_s, now):
        """Attribute the last ``elapsed_s`` seconds to the observed state of each group."""
        for observation in observations:
            up_s = elapsed_s if observation.is_serving else 0.0
            stranded_s = elapsed_s * observation.stranded_accelerators
            usable_s = elapsed_s * (observation.accelerators - observation.stranded_accelerators)
            for scope, name in (("service", observation.service), ("place", observation.place)):
                self._counts.add(
                    now, (objectives.GROUP_DOWNTIME, scope, name), up_s, elapsed_s - up_s
                )
                self._counts.add(now, (objectives.STRANDED, scope, name), usable_s, stranded_s)

    def document(self, now):
        """Return the counts as a JSON value."""
        self._counts.prune(now)
        return self._counts.to_document()

    def reset(self):
        """Discard all counts when a new incarnation starts."""
        self._counts = counts.BurnCounts()
