"""Cached plans over all fabric domains."""

from lynxlanding.groups import desired_groups, fleet_allocation, group_record
from lynxlanding.rollout import replica_targets


class FleetPlanner:
    """Caches the last allocation of desired groups and the domains that need no action.

    Parameters
    ----------
    tokens_per_s_per_replica : float or None
        Measured rate of one replica group.
    """

    def __init__(self, tokens_per_s_per_replica):
        self._tokens_per_s_per_replica = tokens_per_s_per_replica
        self._inputs = None
        self._last_plan = ({}, frozenset())
        self._converged = {}

    @property
    def converged(self):
        """Names of the domains whose last step required no action."""
        return tuple(self._converged)

    def plan(self, snapshot, winddowns, views, domains, serving, wall_time):
        """Return the result of ``fleet_allocation.plan``, recomputed only if its inputs changed.

        Parameters
        ----------
        snapshot : Snapshot
            Accepted configuration.
        winddowns : dict
            Wind-down plans by model.
        views : DomainViews
            Observations of the domains.
        domains : list of Domain
            All fabric domains.
        serving : set of str
            Groups that serve by evidence.
        wall_time : float
            Wall-clock time, in seconds; determines the targets and the owed groups.
        """
        targets = replica_targets.replicas_by_spec(snapshot, winddowns, wall_time)
        entries = desired_groups.from_snapshot(snapshot, targets)
        owed = {}
        for entry in entries:
            owed[entry.spec] = replica_targets.owed_groups(
                snapshot, entry, self._tokens_per_s_per_replica, wall_time
            )
        inputs = (views.generation, entries, owed, serving)
        if inputs != self._inputs:
            self._last_plan = fleet_allocation.plan(
                entries, domains, views.observations(), serving, lambda entry: owed[entry.spec]
            )
            self._inputs = inputs
        return self._last_plan

    def is_converged(self, name, inputs):
        """Return whether the last step had the same inputs and required no action.

        Parameters
        ----------
        name : str
            Fabric domain.
        inputs : tuple
            Domain object, observations and desired groups.
        """
        known = self._converged.get(name)
        if known is None or known[0] is not inputs[0] or known[1] is not inputs[1]:
            return False
        return known[2] == inputs[2]

    def record_step(self, name, inputs, step, holder):
        """Record the result of a step.

        A domain is converged only if every group is ready, since otherwise a later step may require
        an action without a change of the inputs.
        """
        self._converged.pop(name, None)
        has_work = step.write is not None or step.orders or step.waits_for_lease
        if has_work or inputs[0].lease.holder == holder:
            return
        if all(group.state == group_record.READY for group in inputs[0].groups.values()):
            self._converged[name] = inputs
