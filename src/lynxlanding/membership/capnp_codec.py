"""Message codec that uses the packed encoding of Cap'n Proto."""

import importlib.resources

import capnp

from lynxlanding.errors import membership as membership_errors
from lynxlanding.membership import (
    digest_columns,
    entry,
    messages,
    node_info,
    revision_report,
    scopes,
)

# Larger messages are rejected. 64 KB of deltas, a digest of 10,000 nodes and the overhead stay
# below this limit.
MAX_MESSAGE_BYTES = 1 << 20
_TRAVERSAL_LIMIT_WORDS = 1 << 20
_SHA256_BYTES = 32


class CapnpCodec:
    """``MessageCodec`` of the peer protocol; the schema is loaded from the package data."""

    content_type = "application/x-lynxlanding-capnp"

    def __init__(self):
        resource = importlib.resources.files("lynxlanding.membership") / "gossip.capnp"
        with importlib.resources.as_file(resource) as path:
            self._schema = capnp.load(str(path))

    def encode(self, message):
        """Return the encoded message."""
        target = self._schema.Message.new_message()
        _write_info(target.sender, message.sender)
        if isinstance(message, messages.ExchangePush):
            target.init("push")
            _write_deltas(target.push.init("deltas", len(message.deltas)), message.deltas)
            return target.to_bytes_packed()
        target.isWide = message.scope == scopes.WIDE
        if message.revision_report is not None:
            target.mark.number = message.revision_report.number
            target.mark.digest = bytes.fromhex(message.revision_report.digest)
            target.mark.ageS = (
                -1.0 if message.revision_report.age_s is None else message.revision_report.age_s
            )
        if isinstance(message, messages.ExchangeRequest):
            target.init("request")
            _write_digest(target.request.digest, message.digest)
            return target.to_bytes_packed()
        target.init("response")
        _write_digest(target.response.newer, message.newer)
        _write_digest(target.response.wanted, message.wanted)
        _write_deltas(target.response.init("deltas", len(message.deltas)), message.deltas)
        return target.to_bytes_packed()

    def decode(self, data):
        """Return the message; raises ``MalformedMessage``."""
        if len(data) > MAX_MESSAGE_BYTES:
            raise membership_errors.MalformedMessage(
                f"message of {len(data)} bytes exceeds the limit"
            )
        try:
            source = self._schema.Message.from_bytes_packed(
                data, traversal_limit_in_words=_TRAVERSAL_LIMIT_WORDS
            )
            return self._read(source)
        except (capnp.KjException, UnicodeDecodeError, ValueError, AttributeError) as e:
            raise membership_errors.MalformedMessage(str(e)) from e

    def _read(self, source):
        sender = _read_info(source.sender)
        which = source.which()
        if which == "push":
            return messages.ExchangePush(sender, _read_deltas(source.push.deltas))
        scope = scopes.WIDE if source.isWide else scopes.PLACE
        revision = _read_revision_report(source.mark) if source._has("mark") else None
        if which == "request":
            digest = _read_digest(source.request.digest)
            return messages.ExchangeRequest(sender, scope, digest, revision)
        return messages.ExchangeResponse(
            sender,
            scope,
            _read_digest(source.response.newer),
            _read_deltas(source.response.deltas),
            _read_digest(source.response.wanted),
            revision,
        )


def _write_info(target, info):
    target.nodeId = info.node_id
    target.incarnation = info.incarnation
    target.address = info.address
    target.place = info.place
    target.region = info.region


def _write_digest(target, digest):
    target.tokens, target.columns = digest_columns.encode(digest)


def _write_deltas(targets, deltas):
    for target, delta in zip(targets, deltas, strict=True):
        target.token = delta.token
        target.heartbeat = delta.heartbeat
        target.placeVersion = delta.place_version
        target.wideVersion = delta.wide_version
        if delta.info is not None:
            _write_info(target.info, delta.info)
        if not delta.entries:
            continue
        for entry_target, published_entry in zip(
            target.init("entries", len(delta.entries)), delta.entries, strict=True
        ):
            entry_target.key = published_entry.key
            entry_target.value = published_entry.value
            entry_target.version = published_entry.version
            entry_target.isWide = published_entry.scope == scopes.WIDE


def _read_info(source):
    return node_info.NodeInfo(
        source.nodeId, source.incarnation, source.address, source.place, source.region
    )


def _read_revision_report(source):
    digest = bytes(source.digest)
    if len(digest) not in (0, _SHA256_BYTES):
        raise membership_errors.MalformedMessage("mark: digest is not a SHA-256 hash")
    return revision_report.RevisionReport(
        source.number, digest.hex(), None if source.ageS < 0 else source.ageS
    )


def _read_digest(source):
    return digest_columns.decode(bytes(source.tokens), bytes(source.columns))


def _read_deltas(sources):
    deltas = []
    for source in sources:
        entries = []
        for published_entry in source.entries:
            scope = scopes.WIDE if published_entry.isWide else scopes.PLACE
            entries.append(
                entry.Entry(
                    published_entry.key,
                    bytes(published_entry.value),
                    published_entry.version,
                    scope,
                )
            )
        deltas.append(
            messages.NodeDelta(
                source.token,
                _read_info(source.info) if source._has("info") else None,
                source.heartbeat,
                source.placeVersion,
                source.wideVersion,
                entries,
            )
        )
    return deltas
