"""Encoding of digests with Cap'n Proto."""

import importlib.resources

import capnp

from lynxlanding.errors import membership as membership_errors
from lynxlanding.peers import protocol, report_codec, report_digest

KIND = b"d"
PREFIX = protocol.DATAGRAM_PREFIX + KIND
_MAX_COUNT = 0xFFFF
# Unit and limit of the ages of nodes, in milliseconds.
_AGE_UNIT_MS = 10
_MAX_AGE = 0xFF
# Limit on the data read while decoding one digest, in 8-byte words.
_TRAVERSAL_LIMIT_WORDS = 1 << 16

_STORE_UNAVAILABLE = 1
_REFUSES_REQUESTS = 2
_CUT = 4


class DigestCodec:
    """Encoder and decoder of ``ReportDigest``, with the schema from ``report_digest.capnp``."""

    def __init__(self):
        resource = importlib.resources.files("lynxlanding.peers") / "report_digest.capnp"
        with importlib.resources.as_file(resource) as path:
            self._schema = capnp.load(str(path))

    def encode(self, digest):
        """Return the datagram of a digest; counts above 65535 are capped."""
        message = self._schema.ReportDigest.new_message()
        message.nodeId = digest.node_id
        message.incarnation = digest.incarnation
        message.sequence = digest.sequence
        members = digest.members
        message.memberKeys = [member.key for member in members]
        message.memberSequences = [member.sequence for member in members]
        message.memberTags = [member.incarnation_tag for member in members]
        message.memberAges = [_encode_age(member.age_ms) for member in members]
        message.memberRequests = [min(member.requests, _MAX_COUNT) for member in members]
        port = members[0].callers_port if members else 0
        message.callersPort = port
        message.memberCallersPorts = [member.callers_port ^ port for member in members]
        message.memberFlags = [_encode_flags(member) for member in members]
        message.heardKeys = list(digest.heard)
        message.heardAges = [_encode_age(age_ms) for age_ms in digest.heard.values()]
        message.loadKeys = list(digest.loads)
        message.loadRequests = [min(requests, _MAX_COUNT) for requests in digest.loads.values()]
        message.hasTraffic = digest.has_traffic
        message.stalled = sorted(digest.stalled)
        message.loading = sorted(digest.loading)
        report_codec.encode_work(message, digest.busy_groups)
        report_codec.encode_limits(message, digest.limits)
        report_codec.encode_leavings(message, digest.leavings)
        report_codec.encode_cold(message, digest.cold)
        forwarded = message.init("forwarded", len(digest.forwarded))
        for index, item in enumerate(digest.forwarded):
            forwarded[index].report = item.data
            forwarded[index].ageMs = item.age_ms
        report_codec.encode_evacuations(message, digest.evacuations)
        message.configurationVersion = digest.configuration_version
        message.configurationHolders = digest.configuration_holders
        return PREFIX + message.to_bytes_packed()

    def decode(self, data):
        """Return the decoded digest.

        Raises
        ------
        errors.membership.MalformedMessage
            If the data is not a valid digest.
        """
        try:
            message = self._schema.ReportDigest.from_bytes_packed(
                data[len(PREFIX) :], traversal_limit_in_words=_TRAVERSAL_LIMIT_WORDS
            )
            return report_digest.ReportDigest(
                message.nodeId,
                message.incarnation,
                message.sequence,
                tuple(_decode_members(message)),
                _decode_heard(message),
                dict(zip(message.loadKeys, message.loadRequests, strict=True)),
                report_codec.decode_work(message),
                message.hasTraffic,
                frozenset(message.stalled),
                frozenset(message.loading),
                report_codec.decode_limits(message),
                report_codec.decode_leavings(message),
                tuple(
                    report_digest.ForwardedReport(bytes(item.report), item.ageMs)
                    for item in message.forwarded
                ),
                report_codec.decode_cold(message),
                report_codec.decode_evacuations(message),
                message.configurationVersion,
                tuple(message.configurationHolders),
            )
        except (capnp.KjException, UnicodeDecodeError, ValueError, AttributeError) as e:
            raise membership_errors.MalformedMessage(f"digest: {e}") from e


def _encode_age(age_ms):
    return min(age_ms // _AGE_UNIT_MS, _MAX_AGE)


def _decode_heard(message):
    heard = {}
    for key, age in zip(message.heardKeys, message.heardAges, strict=True):
        heard[key] = age * _AGE_UNIT_MS
    return heard


def _decode_members(message):
    common_port = message.callersPort
    columns = zip(
        message.memberKeys,
        message.memberSequences,
        message.memberTags,
        message.memberAges,
        message.memberRequests,
        message.memberCallersPorts,
        message.memberFlags,
        strict=True,
    )
    for key, sequence, tag, age, requests, port, flags in columns:
        yield report_digest.MemberState(
            key,
            sequence,
            tag,
            age * _AGE_UNIT_MS,
            requests,
            port ^ common_port,
            bool(flags & _STORE_UNAVAILABLE),
            not flags & _REFUSES_REQUESTS,
            bool(flags & _CUT),
        )


def _encode_flags(member):
    flags = 0
    if member.is_store_unavailable:
        flags |= _STORE_UNAVAILABLE
    if not member.takes_requests:
        flags |= _REFUSES_REQUESTS
    if member.is_cut:
        flags |= _CUT
    return flags
