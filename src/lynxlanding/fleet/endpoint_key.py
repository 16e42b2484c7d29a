"""Hashes by which nodes name endpoints to each other."""

import xxhash


def hash_endpoint_id(endpoint_id):
    """Return the hash that identifies an endpoint in reports."""
    return xxhash.xxh64_intdigest(endpoint_id)
