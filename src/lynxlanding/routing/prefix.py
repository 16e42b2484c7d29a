"""Keys of prompt prefixes."""

import xxhash

# Prompts that share this many characters share a cache block in most engines.
PREFIX_CHARACTERS = 256


def prefix_key(text):
    """Return the key of a prompt's prefix, 16 hexadecimal digits."""
    return xxhash.xxh3_64_hexdigest(text[:PREFIX_CHARACTERS])


def ring_hash(key):
    """Return the position of a prefix key on the consistent-hash ring."""
    return xxhash.xxh3_64_intdigest(key)
