"""Computes the next domain object from the observed and the desired state."""

from lynxlanding.groups import _repair_step, _sizing_step, domain_draft, reconcile_plan


class Reconciler:
    """Moves a domain towards its desired groups.

    It does not check the lease. A plan based on an outdated domain object is rejected by the
    conditional update, regardless of which node made it.

    Parameters
    ----------
    policy : RepairPolicy
        Chooses what happens to incomplete groups.
    rules : RepairRules
        Limits for repairs.
    """

    def __init__(self, policy, rules):
        self._policy = policy
        self._rules = rules

    def plan(self, domain, observations, desired, wall_time, *, drained=(), changing=()):
        """Plan the next domain object.

        Parameters
        ----------
        domain : Domain
            Stored domain.
        observations : dict of str to VmObservation
            VMs of the domain, from ``vm_view.build``.
        desired : list of DesiredGroups
            Desired groups; ``replicas`` is the number allocated to this domain.
        wall_time : float
            Wall-clock time, in seconds. It is stored in the object, since nodes have no common
            monotonic clock.
        drained : collection of str, optional
            Draining groups on which no request runs any more.
        changing : collection of str, optional
            Groups that may change their version or adapters now, as decided by ``rollout``.

        Returns
        -------
        ReconcilePlan
            The changed domain, if any, and descriptions of the changes.
        """
        draft = domain_draft.DomainDraft(domain, observations, wall_time)
        draft.synchronise_vms()
        _repair_step.run(draft, self._policy, self._rules, drained)
        _sizing_step.run(draft, desired, changing)
        return reconcile_plan.ReconcilePlan(draft.finish(), tuple(draft.changes))
