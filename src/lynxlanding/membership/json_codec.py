"""Message codec that uses JSON, which is readable in network traces."""

import base64
import json

from lynxlanding.errors import membership as membership_errors
from lynxlanding.membership import entry, messages, node_info, revision_report


class JsonCodec:
    """``MessageCodec`` for debugging."""

    content_type = "application/json"

    def encode(self, message):
        """Return the encoded message."""
        document = {"type": type(message).__name__, "sender": _info_to_list(message.sender)}
        if not isinstance(message, messages.ExchangePush):
            document["scope"] = message.scope
            revision = message.revision_report
            document["mark"] = revision and [revision.number, revision.digest, revision.age_s]
        if isinstance(message, messages.ExchangeRequest):
            document["digest"] = _digest_to_list(message.digest)
        if isinstance(message, messages.ExchangeResponse):
            document["newer"] = _digest_to_list(message.newer)
            document["wanted"] = _digest_to_list(message.wanted)
        if not isinstance(message, messages.ExchangeRequest):
            document["deltas"] = [_delta_to_list(delta) for delta in message.deltas]
        return json.dumps(document).encode()

    def decode(self, data):
        """Return the message; raises ``MalformedMessage``."""
        try:
            return _message_from_document(json.loads(data))
        except (ValueError, KeyError, TypeError, AttributeError) as e:
            raise membership_errors.MalformedMessage(repr(e)) from e


def _message_from_document(document):
    sender = node_info.NodeInfo(*document["sender"])
    if document["type"] == "ExchangePush":
        return messages.ExchangePush(sender, _deltas_from_document(document))
    revision = revision_report.RevisionReport(*document["mark"]) if document["mark"] else None
    if document["type"] == "ExchangeRequest":
        return messages.ExchangeRequest(
            sender, document["scope"], _digest_from_rows(document["digest"]), revision
        )
    if document["type"] != "ExchangeResponse":
        raise ValueError(f"unknown message type {document['type']}")
    return messages.ExchangeResponse(
        sender,
        document["scope"],
        _digest_from_rows(document["newer"]),
        _deltas_from_document(document),
        _digest_from_rows(document["wanted"]),
        revision,
    )


def _info_to_list(info):
    return [info.node_id, info.incarnation, info.address, info.place, info.region]


def _digest_to_list(digest):
    rows = []
    for token, digest_entry in digest.items():
        rows.append(
            [token, digest_entry.heartbeat, digest_entry.place_version, digest_entry.wide_version]
        )
    return rows


def _digest_from_rows(rows):
    digest = {}
    for token, heartbeat, place_version, wide_version in rows:
        digest[token] = messages.DigestEntry(heartbeat, place_version, wide_version)
    return digest


def _delta_to_list(delta):
    entries = []
    for published_entry in delta.entries:
        value = base64.b64encode(published_entry.value).decode()
        entries.append([published_entry.key, value, published_entry.version, published_entry.scope])
    return [
        delta.token,
        delta.info and _info_to_list(delta.info),
        delta.heartbeat,
        delta.place_version,
        delta.wide_version,
        entries,
    ]


def _deltas_from_document(document):
    deltas = []
    for token, info, heartbeat, place_version, wide_version, rows in document["deltas"]:
        entries = []
        for key, value, version, scope in rows:
            entries.append(entry.Entry(key, base64.b64decode(value), version, scope))
        known = node_info.NodeInfo(*info) if info else None
        deltas.append(
            messages.NodeDelta(token, known, heartbeat, place_version, wide_version, entries)
        )
    return deltas
