"""Fixed endpoints of a configuration, by what they serve."""

from lynxlanding.requests import caller_request


def from_snapshot(snapshot):
    """Return the addresses of the services' fixed endpoints.

    Parameters
    ----------
    snapshot : Snapshot
        Accepted configuration.

    Returns
    -------
    dict of (str, str) to list of str
        Addresses by target kind and target.
    """
    targets = {}
    for name, spec in snapshot.of_kind("services").items():
        target = (caller_request.SERVICE, name)
        if spec.kind == "model":
            target = (caller_request.MODEL, spec.model)
        targets.setdefault(target, []).extend(spec.endpoints)
    return targets
