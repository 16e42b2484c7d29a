"""Keys of prompt prefixes."""

import json

import xxhash

# Prompts that share this many characters share a cache block in most engines.
PREFIX_CHARACTERS = 256


def prefix_key(text):
    """Return the key of a prompt's prefix, 16 hexadecimal digits."""
    return xxhash.xxh3_64_hexdigest(text[:PREFIX_CHARACTERS])


def key_of_prompt(prompt):
    """Return the key of a request's prompt, or None for an empty one.

    Parameters
    ----------
    prompt : bytes
        JSON of a string or of chat messages. Engines publish the beginning of the string, or of
        the messages' JSON.
    """
    if not prompt:
        return None
    text = prompt.decode("utf-8", "replace")
    if text.startswith('"'):
        text = json.loads(text)
    return prefix_key(text)


def ring_hash(key):
    """Return the position of a prefix key on the consistent-hash ring."""
    return xxhash.xxh3_64_intdigest(key)
