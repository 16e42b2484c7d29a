"""Groups the fixed endpoints of a configuration by routing target."""

from lynxlanding.requests import caller_request


def from_snapshot(snapshot):
    """Return the addresses of the fixed endpoints of all services by target.

    Parameters
    ----------
    snapshot : Snapshot
        Accepted configuration.

    Returns
    -------
    dict of (str, str) to list of str
        Endpoint addresses by (target kind, target name).
    """
    targets = {}
    for name, spec in snapshot.of_kind("services").items():
        target = (caller_request.SERVICE, name)
        if spec.kind == "model":
            target = (caller_request.MODEL, spec.model)
        targets.setdefault(target, []).extend(spec.endpoints)
    return targets
