"""Encoding of load reports with Cap'n Proto."""

import importlib.resources
import math

import capnp

from lynxlanding.errors import membership as membership_errors
from lynxlanding.peers import peer_report, prompt_codec

# Size of the receive buffer. A datagram that IP does not fragment carries about 100 endpoints.
MAX_DATAGRAM_BYTES = 8192
# Limit on the data read while decoding one report, in 8-byte words.
_TRAVERSAL_LIMIT_WORDS = 1 << 16


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
        work = message.init("work", len(report.busy_groups))
        for index, (model, groups) in enumerate(report.busy_groups.items()):
            work[index].model = model
            work[index].groups = groups
        limits = message.init("limits", len(report.limits))
        for index, limit in enumerate(report.limits):
            limits[index].key = limit.endpoint_hash
            limits[index].startedMs = limit.started_ms
            limits[index].hasEnded = limit.limit_per_s is None
            limits[index].limitPerS = limit.limit_per_s or 0.0
            limits[index].ageMs = limit.age_ms
        prompt_codec.encode(message, report.prompts)
        host, _, port = report.callers_address.rpartition(":")
        if host == report.address.rpartition(":")[0] and port.isdigit():
            message.callersPort = int(port)
        elif report.callers_address:
            message.callersAddress = report.callers_address
        message.takesRequests = report.takes_requests
        message.isCut = report.is_cut
        message.protocolVersion = report.protocol_version
        leavings = message.init("leavings", len(report.leavings))
        for index, leaving in enumerate(report.leavings):
            leavings[index].key = leaving.endpoint_hash
            leavings[index].startedMs = leaving.started_ms
            leavings[index].ageMs = leaving.age_ms
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
                {item.model: item.groups for item in message.work},
                frozenset(message.loading),
                message.isStoreUnavailable,
                tuple(_decode_limit(item) for item in message.limits),
                prompt_codec.decode(message),
                _decode_callers_address(message),
                message.takesRequests,
                message.isCut,
                tuple(
                    peer_report.ReportedLeaving(item.key, item.startedMs, item.ageMs)
                    for item in message.leavings
                ),
                message.protocolVersion,
            )
        except (capnp.KjException, UnicodeDecodeError, ValueError, AttributeError) as e:
            raise membership_errors.MalformedMessage(str(e)) from e


def _decode_callers_address(message):
    if not message.callersPort:
        return message.callersAddress
    return f"{message.address.rpartition(':')[0]}:{message.callersPort}"


def _decode_limit(item):
    if not (item.limitPerS >= 0 and math.isfinite(item.limitPerS)):
        raise ValueError(f"limit {item.limitPerS} is not a rate")
    limit_per_s = None if item.hasEnded else item.limitPerS
    return peer_report.ReportedLimit(item.key, item.startedMs, limit_per_s, item.ageMs)
