"""Decoding of endpoint registrations in the platform's store."""

import re

from lynxlanding.errors import platform as platform_errors
from lynxlanding.fleet import endpoint_record, group_membership
from lynxlanding.platform import fields
from lynxlanding.transport import address as transport_address

KIND = "servers"

# An id goes into the head of each request to the endpoint.
_ID = re.compile(r"[!-~]{1,128}")
# Whole numbers that every JSON library represents exactly.
_MAX_NUMBER = (1 << 53) - 1
_MAX_SLOTS = 1_000_000
_SECONDS_PER_MS = 1e-3
_NUMBER_TYPES = (int, float)

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
    if not transport_address.is_valid(address):
        raise platform_errors.MalformedEntry(f"address {address[:80]!r} is no IP address and port")
    if _ID.fullmatch(endpoint_id) is None:
        raise platform_errors.MalformedEntry("the name cannot be sent in a header")
    return endpoint_record.EndpointRecord(
        endpoint_id=endpoint_id,
        service=fields.require(spec, "service", str),
        address=address,
        data_centre=fields.require(spec, "zone", str),
        slots=fields.require_number(spec, "slots", _MAX_SLOTS),
        is_leaving=state == "draining",
        started_ms=fields.require_number(spec, "born", _MAX_NUMBER),
        # In reports of engines the same name counts accepted orders; here it counts heartbeats.
        heartbeat_number=fields.require_number(spec, "seq_no", _MAX_NUMBER),
        fabric_domain=fields.get(spec, "domain", str, None),
        models=_decode_loaded_models(spec),
        staged_models=decode_staged_models(spec),
        membership=decode_membership(spec),
        version=version,
        cold_remaining_s=_decode_cold_remaining(spec),
    )


def _decode_cold_remaining(document):
    """Return for how long the engine will be cold, in seconds; None if that is not stated."""
    remaining_ms = fields.get(document, "cold_remaining_ms", _NUMBER_TYPES, None)
    if remaining_ms is None:
        return None
    # An engine whose clock is behind that of its supervisor may state a negative time.
    return remaining_ms * _SECONDS_PER_MS if remaining_ms > 0 else 0.0


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
        epoch=fields.require_number(group, "epoch", _MAX_NUMBER),
        rank=fields.require_number(group, "rank", _MAX_SLOTS),
        state=state,
    )
