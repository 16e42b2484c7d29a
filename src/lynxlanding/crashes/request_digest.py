"""Identity of a request that comes again, and the kinds of keys that evidence is kept for.

Evidence is kept for parts of prompts and for whole requests. The key of a part has 64 bits; that of
a request is a digest of 64 bits with a bit above them.
"""

import xxhash

_DIGEST_BITS = 64
_REQUEST = 1 << _DIGEST_BITS


def compute_key(method, target, workspace, body):
    """Return the key of a request, which is the same at all nodes whenever it comes again.

    Headers do not count: callers change the request id, the deadline and the position in a stream.

    Parameters
    ----------
    method, target : str
        Method and request target.
    workspace : str or None
        Name of the caller's workspace.
    body : bytes
        Complete body.
    """
    digest = xxhash.xxh64()
    for text in (method, target, workspace or ""):
        encoded = text.encode()
        # With their lengths, the fields cannot be taken for each other.
        digest.update(len(encoded).to_bytes(8, "big"))
        digest.update(encoded)
    digest.update(body)
    return from_digest(digest.intdigest())


def is_request(key):
    """Return whether a key is that of a request and not of a part of prompts."""
    return key >= _REQUEST


def contains_request(keys):
    """Return whether one of the keys is that of a request."""
    return any(is_request(key) for key in keys)


def from_digest(digest):
    """Return the key of the request with a digest."""
    return _REQUEST | digest


def to_digest(key):
    """Return the digest in the key of a request."""
    return key ^ _REQUEST


def split(keys):
    """Return the keys of parts and those of requests, each in the given order."""
    parts = []
    requests = []
    for key in keys:
        (requests if is_request(key) else parts).append(key)
    return parts, requests
