"""Decides the next domain object from the observed and the desired state."""

from lynxlanding.groups import _repair_step, _sizing_step, domain_draft, reconcile_plan


class Reconciler:
    """Moves one domain towards the desired groups.

    It does not know the lease: whoever calls it, the conditional update refuses a plan that was
    made from an old domain object.

    Parameters
    ----------
    policy : RepairPolicy
        Chooses what happens to incomplete groups.
    rules : RepairRules
        Bounds.
    """

    def __init__(self, policy, rules):
        self._policy = policy
        self._rules = rules

    def plan(self, domain, observations, desired, wall_time, *, drained=(), changing=()):
        """Plan the next domain object.

        Parameters
        ----------
        domain : Domain
            Domain as stored.
        observations : dict of str to VmObservation
            VMs of the domain, from ``vm_view.build``.
        desired : list of DesiredGroups
            Desired groups; ``replicas`` is this domain's part of the allocation.
        wall_time : float
            Wall-clock time, in seconds; kept in the object, since nodes share no monotonic clock.
        drained : collection of str, optional
            Draining groups that no request uses any more.
        changing : collection of str, optional
            Groups that ``rollout`` allows to change their version or adapters now.

        Returns
        -------
        ReconcilePlan
            The changed domain, if any, and the changes in words.
        """
        draft = domain_draft.DomainDraft(domain, observations, wall_time)
        draft.synchronise_vms()
        _repair_step.run(draft, self._policy, self._rules, drained)
        _sizing_step.run(draft, desired, changing)
        return reconcile_plan.ReconcilePlan(draft.finish(), tuple(draft.changes))
