"""Plans over all fabric domains, repeated only when something about them changed."""

from lynxlanding.groups import desired_groups, fleet_allocation, group_record
from lynxlanding.rollout import replica_targets


class FleetPlanner:
    """Keeps the last division of the desired groups and the domains that need nothing.

    Parameters
    ----------
    tokens_per_s_per_replica : float or None
        Measured rate of one replica group.
    """

    def __init__(self, tokens_per_s_per_replica):
        self._tokens_per_s_per_replica = tokens_per_s_per_replica
        self._inputs = None
        self._planned = ({}, frozenset())
        self._settled = {}

    @property
    def settled(self):
        """Names of the domains whose last step gave nothing to do."""
        return tuple(self._settled)

    def plan(self, snapshot, winddowns, views, domains, serving, wall_time):
        """Divide the desired groups among the domains, as ``fleet_allocation.plan``.

        Parameters
        ----------
        snapshot : Snapshot
            Accepted configuration.
        winddowns : dict
            Wind-down plans by model.
        views : DomainViews
            What is seen of the domains.
        domains : list of Domain
            All fabric domains.
        serving : set of str
            Groups that serve by evidence.
        wall_time : float
            Wall-clock time, in seconds; targets and owed groups follow from it.
        """
        targets = replica_targets.replicas_by_spec(snapshot, winddowns, wall_time)
        entries = desired_groups.from_snapshot(snapshot, targets)
        owed = {}
        for entry in entries:
            owed[entry.spec] = replica_targets.owed(
                snapshot, entry, self._tokens_per_s_per_replica, wall_time
            )
        inputs = (views.generation, entries, owed, serving)
        if inputs != self._inputs:
            self._planned = fleet_allocation.plan(
                entries, domains, views.observations(), serving, lambda entry: owed[entry.spec]
            )
            self._inputs = inputs
        return self._planned

    def is_settled(self, name, inputs):
        """Return whether the last step with these inputs gave nothing, and would again.

        Parameters
        ----------
        name : str
            Fabric domain.
        inputs : tuple
            Domain object, observations and desired groups.
        """
        known = self._settled.get(name)
        if known is None or known[0] is not inputs[0] or known[1] is not inputs[1]:
            return False
        return known[2] == inputs[2]

    def note_step(self, name, inputs, step, holder):
        """Record what a step gave. Time alone changes nothing while every group is ready."""
        self._settled.pop(name, None)
        has_work = step.write is not None or step.orders or step.waits_for_lease
        if has_work or inputs[0].lease.holder == holder:
            return
        if all(group.state == group_record.READY for group in inputs[0].groups.values()):
            self._settled[name] = inputs
