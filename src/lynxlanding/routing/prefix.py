"""Keys of prompt prefixes."""

import json

import xxhash

# In most engines, prompts share a cache block if this many characters at their beginning agree.
PREFIX_CHARACTERS = 256


def prefix_key(text):
    """Return the key of a prompt's prefix as 16 hexadecimal digits."""
    return xxhash.xxh3_64_hexdigest(text[:PREFIX_CHARACTERS])


def prefix_key_from_json(prompt):
    """Return the key of the prefix of a request's prompt, or None if the prompt is empty.

    Parameters
    ----------
    prompt : bytes
        Prompt as a JSON string, or chat messages as JSON. The cache events of engines contain
        the beginning of the string or of the JSON of the messages.
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
