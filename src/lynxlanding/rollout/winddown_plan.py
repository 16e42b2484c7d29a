"""Plans the gradual reduction of a model's replicas until its shutdown date."""

import datetime

from lynxlanding.rollout import winddown_row


class WinddownPlan:
    """Number of replicas of one model over time.

    The replicas owed before a step remain owed until the step. Surplus groups drain ahead of the
    step and are released by then; the others start to drain at the step. From the shutdown date
    on, nothing is owed and no new requests are accepted. The endpoints remain until the last
    stream has ended, at most for the longest deadline.

    Parameters
    ----------
    spec : WinddownSpec
        Accepted wind-down specification, which contains the schedule.
    replicas : int
        Number of desired replicas before the first step.
    owed_at : callable or None
        Returns the number of replicas owed to the workspaces at a wall-clock time. None means that
        every scheduled replica is owed, so that all drains start at their steps.
    drain_lead_s : float
        Time by which drains start ahead of a step: the longest deadline plus the time until every
        node knows of the drain.
    """

    def __init__(self, spec, replicas, owed_at, drain_lead_s):
        self._replicas = replicas
        self._owed_at = self.scheduled_replicas if owed_at is None else owed_at
        self._drain_lead_s = drain_lead_s
        self._date = _to_timestamp(spec.date)
        self._steps = []
        for step in sorted(spec.steps, key=lambda item: item.at):
            if _to_timestamp(step.at) < self._date:
                self._steps.append((_to_timestamp(step.at), step.replicas))
        self._steps.append((self._date, 0))

    @property
    def date(self):
        """Shutdown date as wall-clock seconds."""
        return self._date

    def scheduled_replicas(self, wall_time):
        """Return the number of replicas that the schedule specifies at a given time."""
        current = self._replicas
        for at, replicas in self._steps:
            if wall_time >= at:
                current = min(current, replicas)
        return current

    def target_replicas(self, wall_time):
        """Return the number of replicas to keep at a given time; surplus groups drain.

        It is never below what is owed: a step to fewer replicas waits until fewer are owed.
        """
        current = self.scheduled_replicas(wall_time)
        if wall_time >= self._date:
            return 0
        ahead = min(current, self.scheduled_replicas(wall_time + self._drain_lead_s))
        return max(ahead, min(self._replicas, self._owed_at(wall_time)))

    def rows(self, wall_time, serving=None):
        """Return the plan as it is shown to operators in advance.

        Parameters
        ----------
        wall_time : float
            Wall-clock time, in seconds.
        serving : int, optional
            Number of groups that serve now, to warn if fewer serve than are owed.

        Returns
        -------
        list of WinddownRow
            Steps that are not completed, in chronological order.
        """
        rows = []
        before = self._replicas
        for at, replicas in self._steps:
            after = min(before, replicas)
            if at + self._drain_lead_s < wall_time:
                before = after
                continue
            owed_before = min(before, self._owed_at(at - 1.0))
            kept_until_step = max(after, owed_before)
            ahead = before - kept_until_step
            at_step = kept_until_step - after
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
                    at - self._drain_lead_s if ahead else at,
                    at + self._drain_lead_s if at_step else at,
                    warning,
                )
            )
            before = after
        return rows


def _to_timestamp(value):
    if value.tzinfo is None:
        value = value.replace(tzinfo=datetime.UTC)
    return value.timestamp()
