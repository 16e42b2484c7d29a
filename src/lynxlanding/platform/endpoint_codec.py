"""Decodes the registrations of endpoints."""

from lynxlanding.errors import platform as platform_errors
from lynxlanding.fleet import endpoint_record, group_membership
from lynxlanding.platform import fields

KIND = "servers"

_STATES = frozenset({"ready", "draining"})


def decode(endpoint_id, spec):
    """Return the ``EndpointRecord`` of an entry.

    Raises
    ------
    errors.platform.MalformedEntry
        If the entry was not written by an endpoint.
    """
    state = fields.require(spec, "state", str)
    if state not in _STATES:
        raise platform_errors.MalformedEntry(f"unknown state {state!r}")
    address = fields.require(spec, "address", str)
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise platform_errors.MalformedEntry(f"address {address!r} has no port")
    return endpoint_record.EndpointRecord(
        endpoint_id=endpoint_id,
        service=fields.require(spec, "service", str),
        address=address,
        data_centre=fields.require(spec, "zone", str),
        slots=fields.require(spec, "slots", int),
        is_leaving=state == "draining",
        born_ms=fields.require(spec, "born", int),
        # Counts the orders that the incarnation accepted, not the heartbeats.
        orders_accepted=fields.require(spec, "seq_no", int),
        fabric_domain=fields.get(spec, "domain", str, None),
        models=decode_model_names(spec),
        staged_models=decode_staged(spec),
        membership=decode_membership(spec),
    )


def decode_model_names(document):
    """Return the names of the loaded models."""
    names = []
    for model in fields.get(document, "models", list, []):
        names.append(fields.require(model, "name", str))
    return tuple(names)


def decode_staged(document):
    """Return the names of the models on the host."""
    names = []
    for name in fields.get(document, "staged", list, []):
        if not isinstance(name, str):
            raise platform_errors.MalformedEntry("field 'staged' holds something else than names")
        names.append(name)
    return tuple(names)


def decode_membership(document):
    """Return the ``GroupMembership`` or None."""
    group = fields.get(document, "group", dict, None)
    if group is None:
        return None
    state = fields.require(group, "state", str)
    if state not in group_membership.STATES:
        raise platform_errors.MalformedEntry(f"unknown state {state!r} of a group")
    return group_membership.GroupMembership(
        name=fields.require(group, "name", str),
        epoch=fields.require(group, "epoch", int),
        rank=fields.require(group, "rank", int),
        state=state,
    )
