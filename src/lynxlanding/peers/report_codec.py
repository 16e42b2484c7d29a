"""Encoding of load reports with Cap'n Proto."""

import importlib.resources
import math

import capnp

from lynxlanding.errors import membership as membership_errors
from lynxlanding.peers import peer_report, prompt_codec

# Size of the receive buffer. A digest of the work at 2,100 endpoints has some 25 KB.
MAX_DATAGRAM_BYTES = 32768
# Limit on the data read while decoding one report, in 8-byte words.
_TRAVERSAL_LIMIT_WORDS = 1 << 16
_MAX_COLD_MS = 0xFFFFFFFF


class ReportCodec:
    """Encoder and decoder of ``PeerReport``, with the schema from ``peer_report.capnp``."""

    def __init__(self):
        resource = importlib.resources.files("lynxlanding.peers") / "peer_report.capnp"
        with importlib.resources.as_file(resource) as path:
            self._schema = capnp.load(str(path))

    def encode(self, report):
        """Return the encoded report; loads above 65535 are capped."""
        message = self._schema.PeerReport.new_message()
        message.nodeId = report.node_id
        message.incarnation = report.incarnation
        message.sequence = report.sequence
        message.address = report.address
        message.configurationVersion = report.configuration_version
        message.hasTraffic = report.has_traffic
        message.stalled = sorted(report.stalled)
        message.loading = sorted(report.loading)
        message.isStoreUnavailable = report.is_store_unavailable
        encode_work(message, report.busy_groups)
        encode_limits(message, report.limits)
        prompt_codec.encode(message, report.prompts)
        port = peer_report.port_at_same_host(report.callers_address, report.address)
        if port:
            message.callersPort = port
        elif report.callers_address.rpartition(":")[2] != "0":
            message.callersAddress = report.callers_address
        message.takesRequests = report.takes_requests
        message.isCut = report.is_cut
        message.protocolVersion = report.protocol_version
        encode_leavings(message, report.leavings)
        encode_cold(message, report.cold)
        message.gatherers = report.gatherers
        encode_evacuations(message, report.evacuations)
        loads = message.init("loads", len(report.loads))
        for index, (key, requests) in enumerate(report.loads.items()):
            loads[index].key = key
            loads[index].requests = min(requests, 0xFFFF)
        return message.to_bytes_packed()

    def decode(self, data):
        """Return the decoded report.

        Raises
        ------
        errors.membership.MalformedMessage
            If the data is not a valid report.
        """
        try:
            message = self._schema.PeerReport.from_bytes_packed(
                data, traversal_limit_in_words=_TRAVERSAL_LIMIT_WORDS
            )
            loads = {}
            for item in message.loads:
                loads[item.key] = item.requests
            return peer_report.PeerReport(
                message.nodeId,
                message.incarnation,
                message.sequence,
                message.address,
                message.configurationVersion,
                loads,
                message.hasTraffic,
                frozenset(message.stalled),
                decode_work(message),
                frozenset(message.loading),
                message.isStoreUnavailable,
                decode_limits(message),
                prompt_codec.decode(message),
                _decode_callers_address(message),
                message.takesRequests,
                message.isCut,
                decode_leavings(message),
                message.protocolVersion,
                tuple(message.gatherers),
                decode_cold(message),
                decode_evacuations(message),
            )
        except (capnp.KjException, UnicodeDecodeError, ValueError, AttributeError) as e:
            raise membership_errors.MalformedMessage(str(e)) from e


def encode_work(message, busy_groups):
    """Write the numbers of busy groups by model into a message."""
    work = message.init("work", len(busy_groups))
    for index, (model, groups) in enumerate(busy_groups.items()):
        work[index].model = model
        work[index].groups = groups


def decode_work(message):
    """Return the numbers of busy groups by model."""
    return {item.model: item.groups for item in message.work}


def encode_limits(message, limits):
    """Write ``ReportedLimit`` objects into a message."""
    encoded = message.init("limits", len(limits))
    for index, limit in enumerate(limits):
        encoded[index].key = limit.endpoint_hash
        encoded[index].startedMs = limit.started_ms
        encoded[index].hasEnded = limit.limit_per_s is None
        encoded[index].limitPerS = limit.limit_per_s or 0.0
        encoded[index].ageMs = limit.age_ms


def decode_limits(message):
    """Return the ``ReportedLimit`` tuple of a message."""
    return tuple(_decode_limit(item) for item in message.limits)


def encode_leavings(message, leavings):
    """Write ``ReportedLeaving`` objects into a message."""
    encoded = message.init("leavings", len(leavings))
    for index, leaving in enumerate(leavings):
        encoded[index].key = leaving.endpoint_hash
        encoded[index].startedMs = leaving.started_ms
        encoded[index].ageMs = leaving.age_ms


def decode_leavings(message):
    """Return the ``ReportedLeaving`` tuple of a message."""
    return tuple(
        peer_report.ReportedLeaving(item.key, item.startedMs, item.ageMs)
        for item in message.leavings
    )


def encode_cold(message, cold):
    """Write ``ReportedCold`` objects into a message."""
    encoded = message.init("cold", len(cold))
    for index, item in enumerate(cold):
        encoded[index].key = item.endpoint_hash
        encoded[index].startedMs = item.started_ms
        encoded[index].coldMs = min(item.cold_ms, _MAX_COLD_MS)
        encoded[index].ageMs = item.age_ms


def decode_cold(message):
    """Return the ``ReportedCold`` tuple of a message."""
    return tuple(
        peer_report.ReportedCold(item.key, item.startedMs, item.coldMs, item.ageMs)
        for item in message.cold
    )


def encode_evacuations(message, evacuations):
    """Write ``ReportedEvacuations`` or None into a message."""
    if evacuations is None:
        return
    encoded = message.init("evacuations")
    encoded.isKnown = True
    encoded.era = evacuations.era
    encoded.revision = evacuations.revision
    encoded.ageMs = evacuations.age_ms
    encoded.dataCentres = evacuations.data_centres


def decode_evacuations(message):
    """Return the ``ReportedEvacuations`` of a message; None if the sender states none."""
    reading = message.evacuations
    if not reading.isKnown:
        return None
    return peer_report.ReportedEvacuations(
        tuple(reading.dataCentres), reading.era, reading.revision, reading.ageMs
    )


def _decode_callers_address(message):
    if not message.callersPort:
        return message.callersAddress
    return f"{message.address.rpartition(':')[0]}:{message.callersPort}"


def _decode_limit(item):
    if not (item.limitPerS >= 0 and math.isfinite(item.limitPerS)):
        raise ValueError(f"limit {item.limitPerS} is not a rate")
    limit_per_s = None if item.hasEnded else item.limitPerS
    return peer_report.ReportedLimit(item.key, item.startedMs, limit_per_s, item.ageMs)
