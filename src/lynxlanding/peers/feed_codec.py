"""Encoding of feed messages and subscriptions as datagrams."""

import base64
import dataclasses
import json
import zlib

from lynxlanding.errors import membership as membership_errors
from lynxlanding.peers import feed_message, fragment_assembler, protocol
from lynxlanding.store import store_version, stored_object
from lynxlanding.transport import json_document

KIND = b"f"
PREFIX = protocol.DATAGRAM_PREFIX + KIND
# A larger datagram is fragmented by IP, and the loss of one fragment loses all of it.
MAX_DATAGRAM_BYTES = 1400
# A message is divided into at most so many datagrams, each of which goes to all subscribers.
MAX_PARTS = 8
# The same for a message that goes to one node, which asks for it.
MAX_REQUESTED_PARTS = 24
# A message that cannot be divided, such as a configuration, goes in fragments to a node that asks
# for it. More of them than this overflow the buffers of receivers; the store is read instead.
FRAGMENT_BYTES = 1200
MAX_FRAGMENTS = 64
# Limit on the data decoded from one datagram, in bytes.
_MAX_DECODED_BYTES = 1 << 18
# The same for a message put together from fragments; values of the store have up to 1 MB.
_MAX_WHOLE_BYTES = 4 << 20


def encode(message):
    """Return the datagrams of a message, in the order of the changes.

    Changes that fit into no few datagrams are left out, so that the receivers read them from the
    store.
    """
    datagrams = _encode_parts(message)
    if len(datagrams) <= MAX_PARTS and None not in datagrams:
        return datagrams
    notice = dataclasses.replace(message, puts=(), deletes=(), is_complete=False)
    return [_compress(_to_document(notice))]


def encode_requested(message):
    """Return the datagrams of a message for one node that has asked for it.

    Such a node understands fragments.
    """
    datagrams = _encode_parts(message)
    if len(datagrams) <= MAX_REQUESTED_PARTS and None not in datagrams:
        return datagrams
    data = encode_whole(message)
    checksum = zlib.crc32(data)
    count = -(-len(data) // FRAGMENT_BYTES)
    if count > MAX_FRAGMENTS:
        return []
    datagrams = []
    for index in range(count):
        part = data[index * FRAGMENT_BYTES : (index + 1) * FRAGMENT_BYTES]
        # The compression of the document takes back most of what the text form adds.
        text = base64.b64encode(part).decode()
        datagrams.append(_compress({"fragment": [checksum, index, count], "data": text}))
    return datagrams


def encode_whole(message):
    """Return a message as one piece of any size, for ``decode_whole``."""
    return zlib.compress(_to_json(_to_document(message)))


def decode_whole(data):
    """Return the ``FeedMessage`` of ``encode_whole``, as a copy or put together from fragments.

    Raises
    ------
    errors.membership.MalformedMessage
        If the data is none.
    """
    return _decode(data, _MAX_WHOLE_BYTES)


def _encode_parts(message):
    """Return the datagrams of a message, divided until each fits; None for one that cannot."""
    data = _compress(_to_document(message))
    if len(data) <= MAX_DATAGRAM_BYTES:
        return [data]
    middle = len(message.puts) // 2
    if not message.is_complete or not _can_divide(message.puts, middle):
        return [None]
    # Removals are applied before the other changes, so they are in the first part.
    first = dataclasses.replace(
        message, version=message.puts[middle - 1].version, puts=message.puts[:middle]
    )
    second = dataclasses.replace(
        message, after=first.version, puts=message.puts[middle:], deletes=(), was_outage=False
    )
    return _encode_parts(first) + _encode_parts(second)


def _can_divide(puts, middle):
    """Return whether the versions tell the changes before and after a position apart."""
    return middle > 0 and puts[middle - 1].version < puts[middle].version


def encode_subscription(subscription):
    """Return the datagram of a subscription."""
    document = {"subscriber": subscription.address}
    if subscription.versions:
        versions = subscription.versions.items()
        document["versions"] = {kind: [version.era, version.revision] for kind, version in versions}
    return _compress(document)


def decode(data):
    """Return the decoded ``FeedMessage``, ``Subscription`` or ``Fragment``.

    Raises
    ------
    errors.membership.MalformedMessage
        If the data is none of them.
    """
    return _decode(data[len(PREFIX) :], _MAX_DECODED_BYTES)


def _decode(data, max_bytes):
    try:
        inflater = zlib.decompressobj()
        text = inflater.decompress(data, max_bytes)
        if not inflater.eof:
            raise membership_errors.MalformedMessage("feed message is truncated or too large")
        document = json_document.decode(text)
        if "subscriber" in document:
            return _decode_subscription(document)
        if "fragment" in document:
            return _decode_fragment(document)
        era = int(document["era"])
        kind = document["kind"]
        puts = []
        if not json_document.is_readable(document):
            raise membership_errors.MalformedMessage("feed message has unreadable values")
        for name, revision, value in document["puts"]:
            version = store_version.StoreVersion(era, int(revision))
            puts.append(stored_object.StoredObject(kind, name, version, value))
        return feed_message.FeedMessage(
            kind,
            store_version.StoreVersion(era, int(document["after"])),
            store_version.StoreVersion(era, int(document["version"])),
            tuple(puts),
            tuple(document["deletes"]),
            bool(document["complete"]),
            bool(document["was_outage"]),
            max(0, int(document.get("age_ms", 0))),
            tuple(str(kind) for kind in document.get("waiting", ())),
            str(document.get("substitute", "")),
            _decode_latest(document, era),
        )
    except (zlib.error, ValueError, KeyError, TypeError, AttributeError) as e:
        raise membership_errors.MalformedMessage(f"feed message: {e}") from e


def _decode_latest(document, era):
    revision = document.get("latest")
    return None if revision is None else store_version.StoreVersion(era, int(revision))


def _decode_fragment(document):
    checksum, index, count = (int(number) for number in document["fragment"])
    if not 0 <= index < count <= MAX_FRAGMENTS:
        raise membership_errors.MalformedMessage("fragment has no valid position")
    data = base64.b64decode(document["data"], validate=True)
    return fragment_assembler.Fragment(checksum, index, count, data)


def _decode_subscription(document):
    versions = {}
    for kind, (era, revision) in document.get("versions", {}).items():
        versions[kind] = store_version.StoreVersion(int(era), int(revision))
    return feed_message.Subscription(str(document["subscriber"]), versions)


def _to_document(message):
    puts = [[stored.name, stored.version.revision, stored.value] for stored in message.puts]
    document = {
        "kind": message.kind,
        "era": message.version.era,
        "after": message.after.revision,
        "version": message.version.revision,
        "puts": puts,
        "deletes": list(message.deletes),
        "complete": message.is_complete,
        "was_outage": message.was_outage,
    }
    if message.age_ms:
        document["age_ms"] = message.age_ms
    if message.waiting_kinds:
        document["waiting"] = list(message.waiting_kinds)
    if message.substitute_address:
        document["substitute"] = message.substitute_address
    if message.latest is not None:
        document["latest"] = message.latest.revision
    return document


def _compress(document):
    return PREFIX + zlib.compress(_to_json(document))


def _to_json(document):
    return json.dumps(document, separators=(",", ":")).encode()
