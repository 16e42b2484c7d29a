"""Desired replica groups of one specification."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class DesiredGroups:
    """Replica groups requested by the accepted configuration, with the model's version resolved.

    Parameters
    ----------
    spec : str
        Name of the configuration object of kind ``groups``.
    model, version : str
        Model and version to load.
    adapters : tuple of str
        Adapters to load.
    vms_per_replica : int
        Number of VMs in one group.
    replicas : int
        Desired number of groups.
    places : tuple of str
        Data centres that may hold the groups; empty means any.
    checks_fencing_number : bool
        Whether the engines reject a stale fencing number.
    """

    spec: str
    model: str
    version: str
    adapters: tuple[str, ...]
    vms_per_replica: int
    replicas: int
    places: tuple[str, ...] = ()
    checks_fencing_number: bool = False

    def with_replicas(self, replicas):
        """Return a copy with another number of groups."""
        return dataclasses.replace(self, replicas=replicas)

    def is_current(self, group):
        """Return whether a group has the desired version and adapters."""
        return group.version == self.version and group.adapters == self.adapters


def from_snapshot(snapshot, replicas_by_spec=None):
    """Return the desired groups of an accepted configuration.

    Parameters
    ----------
    snapshot : configuration.snapshot.Snapshot
        Accepted configuration.
    replicas_by_spec : dict of str to int, optional
        Numbers of groups that override the configuration, for example during a wind-down.

    Returns
    -------
    list of DesiredGroups
        One entry for each object of kind ``groups`` whose model exists.
    """
    models = snapshot.of_kind("models")
    desired = []
    for name, spec in sorted(snapshot.of_kind("groups").items()):
        model = models.get(spec.model)
        if model is None:
            continue
        replicas = spec.replicas
        if replicas_by_spec is not None:
            replicas = replicas_by_spec.get(name, replicas)
        desired.append(
            DesiredGroups(
                name,
                spec.model,
                model.version,
                tuple(sorted(spec.adapters)),
                model.vms_per_replica,
                replicas,
                spec.places,
                spec.checks_fencing_number,
            )
        )
    return desired
