"""Canonical JSON and digests of the immutable configuration objects."""

import hashlib
import json


def canonical(document):
    """Return the canonical JSON encoding of a document, the input of its digest."""
    return json.dumps(
        document, sort_keys=True, separators=(",", ":"), ensure_ascii=False, allow_nan=False
    ).encode()


def digest(document):
    """Return the hexadecimal SHA-256 of the canonical encoding."""
    return hashlib.sha256(canonical(document)).hexdigest()


def key(kind, name):
    """Return the key of an object in a manifest, ``kind/name``."""
    return f"{kind}/{name}"


def split_key(text):
    """Return the kind and the name of a manifest key."""
    kind, _, name = text.partition("/")
    return kind, name
