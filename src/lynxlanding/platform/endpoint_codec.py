"""Decoding of endpoint registrations in the platform's store."""

from lynxlanding.errors import platform as platform_errors
from lynxlanding.fleet import endpoint_record, group_membership
from lynxlanding.platform import fields

KIND = "servers"

_ENDPOINT_STATES = frozenset({"ready", "draining"})


def decode(endpoint_id, spec, version=None):
    """Return the ``EndpointRecord`` decoded from a registration.

    Parameters
    ----------
    endpoint_id : str
        Name of the entry.
    spec : Any
        Value of the entry.
    version : StoreVersion, optional
        Version of the store at which it was written.

    Raises
    ------
    errors.platform.MalformedEntry
        If the entry is not a valid registration of an endpoint.
    """
    state = fields.require(spec, "state", str)
    if state not in _ENDPOINT_STATES:
        raise platform_errors.MalformedEntry(f"unknown endpoint state {state!r}")
    address = fields.require(spec, "address", str)
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise platform_errors.MalformedEntry(f"address {address!r} is not of the form host:port")
    return endpoint_record.EndpointRecord(
        endpoint_id=endpoint_id,
        service=fields.require(spec, "service", str),
        address=address,
        data_centre=fields.require(spec, "zone", str),
        slots=fields.require(spec, "slots", int),
        is_leaving=state == "draining",
        started_ms=fields.require(spec, "born", int),
        # In reports of engines the same name counts accepted orders; here it counts heartbeats.
        heartbeat_number=fields.require(spec, "seq_no", int),
        fabric_domain=fields.get(spec, "domain", str, None),
        models=_decode_loaded_models(spec),
        staged_models=decode_staged_models(spec),
        membership=decode_membership(spec),
        version=version,
    )


def _decode_loaded_models(document):
    names = []
    for model in fields.get(document, "models", list, []):
        names.append(fields.require(model, "name", str))
    return tuple(names)


def decode_staged_models(document):
    """Return the names of the models whose weights are on the host."""
    names = []
    for name in fields.get(document, "staged", list, []):
        if not isinstance(name, str):
            raise platform_errors.MalformedEntry("field 'staged' must contain only strings")
        names.append(name)
    return tuple(names)


def decode_membership(document):
    """Return the ``GroupMembership``, or None if the engine is in no group."""
    group = fields.get(document, "group", dict, None)
    if group is None:
        return None
    state = fields.require(group, "state", str)
    if state not in group_membership.STATES:
        raise platform_errors.MalformedEntry(f"unknown group membership state {state!r}")
    return group_membership.GroupMembership(
        name=fields.require(group, "name", str),
        epoch=fields.require(group, "epoch", int),
        rank=fields.require(group, "rank", int),
        state=state,
    )
