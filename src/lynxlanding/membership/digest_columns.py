"""Compact columnar encoding of a digest.

Heartbeats and versions of different nodes mostly have the same high bytes. Stored as byte planes,
they compress to little more than the size of the low bytes. Tokens are hashes, which do not
compress, and are stored uncompressed.
"""

import zlib

import numpy as np

from lynxlanding.errors import membership as membership_errors
from lynxlanding.membership import messages

TOKEN_BYTES = 6
_COLUMNS = 3
_COMPRESSION_LEVEL = 1


def encode(digest):
    """Return the tokens and the compressed columns of a digest."""
    count = len(digest)
    if count == 0:
        return b"", b""
    tokens = np.fromiter(digest.keys(), dtype="<u8", count=count)
    values = np.empty((_COLUMNS, count), dtype="<u4")
    for index, digest_entry in enumerate(digest.values()):
        values[0, index] = digest_entry.heartbeat
        values[1, index] = digest_entry.place_version
        values[2, index] = digest_entry.wide_version
    token_bytes = tokens.view("u1").reshape(count, 8)[:, :TOKEN_BYTES].tobytes()
    planes = values.view("u1").reshape(_COLUMNS * count, 4).T.tobytes()
    return token_bytes, zlib.compress(planes, _COMPRESSION_LEVEL)


def decode(token_bytes, columns):
    """Return the digest; raises ``MalformedMessage``."""
    if not token_bytes:
        return {}
    count = len(token_bytes) // TOKEN_BYTES
    expected = _COLUMNS * count * 4
    try:
        decompressor = zlib.decompressobj()
        planes = decompressor.decompress(columns, expected + 1)
    except zlib.error as e:
        raise membership_errors.MalformedMessage(f"digest: {e}") from e
    if len(planes) != expected or len(token_bytes) % TOKEN_BYTES:
        raise membership_errors.MalformedMessage(
            "digest: token and value columns have different lengths"
        )
    padded = np.zeros((count, 8), dtype="u1")
    padded[:, :TOKEN_BYTES] = np.frombuffer(token_bytes, dtype="u1").reshape(count, TOKEN_BYTES)
    tokens = padded.view("<u8").ravel().tolist()
    transposed = np.frombuffer(planes, dtype="u1").reshape(4, _COLUMNS * count).T
    values = np.ascontiguousarray(transposed).view("<u4").reshape(_COLUMNS, count).tolist()
    digest = {}
    for token, heartbeat, place_version, wide_version in zip(tokens, *values, strict=True):
        digest[token] = messages.DigestEntry(heartbeat, place_version, wide_version)
    return digest
