"""Repair policy that balances group downtime against stranded accelerators."""

from lynxlanding.groups import repair_policy, return_model


class WeightedPolicy:
    """Replaces lost VMs with spares; otherwise waits while the benefit exceeds the cost.

    Waiting for another second saves ``reload_s`` of group downtime with the probability that the VM
    returns in that second, and strands the remaining accelerators for one second. The policy waits
    while the weighted saving exceeds the weighted cost. If freeing the group completes another one,
    it is freed at once: one of the two groups then serves and fewer accelerators are stranded.

    Parameters
    ----------
    downtime_weight : float
        Cost of one second of downtime of one group.
    stranded_weight : float
        Cost of one second for which all accelerators of one group are stranded.
    model : ReturnModel, optional
        Model of the return of lost VMs.
    """

    def __init__(self, downtime_weight, stranded_weight, model=None):
        self._downtime_weight = downtime_weight
        self._stranded_weight = stranded_weight
        self._model = model if model is not None else return_model.ReturnModel()

    def decide(self, situation):
        """Return ``REPLACE``, ``KEEP`` or ``FREE``."""
        if situation.spare_vms >= situation.missing_vms:
            return repair_policy.REPLACE
        if situation.completes_another:
            return repair_policy.FREE
        if situation.held_accelerators == 0:
            return repair_policy.KEEP
        # The group is complete only when the last of its missing VMs has returned.
        hazard_per_s = self._model.hazard_per_s(situation.waited_s) / situation.missing_vms
        downtime_saving = self._downtime_weight * hazard_per_s * self._model.reload_s
        stranded_share = situation.held_accelerators / situation.group_accelerators
        if downtime_saving > self._stranded_weight * stranded_share:
            return repair_policy.KEEP
        return repair_policy.FREE
