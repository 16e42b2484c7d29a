"""Plans how a model's capacity goes down to its shutdown date."""

import datetime

from lynxlanding.rollout import winddown_row


class WinddownPlan:
    """Replicas of one model over time.

    Until a step, what was owed before it is owed. Groups above that drain ahead of the step, so
    that they are released when it comes; the others start their drains at the step. At the date
    nothing is owed, new requests end, and the endpoints stay until the last stream has ended,
    which the longest deadline bounds.

    Parameters
    ----------
    spec : WinddownSpec
        Accepted schedule.
    replicas : int
        Desired replicas before the first step.
    owed_at : callable or None
        Returns the replicas owed to the workspaces at a wall-clock time. None means that every
        scheduled replica is owed, so that all drains start at their steps.
    lead_s : float
        Time by which drains start ahead of a step: the longest deadline and the notice time.
    """

    def __init__(self, spec, replicas, owed_at, lead_s):
        self._replicas = replicas
        self._owed_at = self.scheduled if owed_at is None else owed_at
        self._lead_s = lead_s
        self._date = _seconds(spec.date)
        self._steps = []
        for step in sorted(spec.steps, key=lambda item: item.at):
            if _seconds(step.at) < self._date:
                self._steps.append((_seconds(step.at), step.replicas))
        self._steps.append((self._date, 0))

    @property
    def date(self):
        """Shutdown date as wall-clock seconds."""
        return self._date

    def scheduled(self, wall_time):
        """Return the replicas that the schedule gives at a moment."""
        current = self._replicas
        for at, replicas in self._steps:
            if wall_time >= at:
                current = min(current, replicas)
        return current

    def target(self, wall_time):
        """Return the replicas to keep at a moment; the groups above it drain.

        Never below what is owed: a step that asks for less waits until less is owed.
        """
        current = self.scheduled(wall_time)
        if wall_time >= self._date:
            return 0
        ahead = min(current, self.scheduled(wall_time + self._lead_s))
        return max(ahead, min(self._replicas, self._owed_at(wall_time)))

    def rows(self, wall_time, serving=None):
        """Return the plan as it is shown to operators ahead of time.

        Parameters
        ----------
        wall_time : float
            Wall-clock time, in seconds.
        serving : int, optional
            Groups that serve now, to warn when fewer serve than are owed.

        Returns
        -------
        list of WinddownRow
            Steps that are not over, in order of time.
        """
        rows = []
        before = self._replicas
        for at, replicas in self._steps:
            after = min(before, replicas)
            if at + self._lead_s < wall_time:
                before = after
                continue
            owed_before = min(before, self._owed_at(at - 1.0))
            floor = max(after, owed_before)
            ahead = before - floor
            at_step = floor - after
            owed_after = self._owed_at(at)
            warning = ""
            if owed_after > after and at < self._date:
                warning = f"{owed_after} replicas are owed after the step to {after}"
            elif owed_after > 0 and at >= self._date:
                warning = f"{owed_after} replicas are owed beyond the shutdown date"
            elif serving is not None and not rows and serving < owed_before:
                warning = f"{serving} replicas serve and {owed_before} are owed until the step"
            rows.append(
                winddown_row.WinddownRow(
                    at,
                    before,
                    after,
                    owed_before,
                    ahead,
                    at_step,
                    at - self._lead_s if ahead else at,
                    at + self._lead_s if at_step else at,
                    warning,
                )
            )
            before = after
        return rows


def _seconds(moment):
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=datetime.UTC)
    return moment.timestamp()
