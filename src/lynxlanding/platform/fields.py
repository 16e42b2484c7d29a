"""Checked access to the fields of decoded JSON."""

from lynxlanding.errors import platform as platform_errors


def require(document, name, kinds):
    """Return a field; raises ``MalformedEntry`` if it is missing or of another type.

    Parameters
    ----------
    document : dict
        Decoded JSON object.
    name : str
        Field on the wire.
    kinds : type or tuple of type
        Accepted types. A boolean is never accepted as a number.
    """
    if not isinstance(document, dict):
        raise platform_errors.MalformedEntry(f"expected an object around {name!r}")
    if name not in document:
        raise platform_errors.MalformedEntry(f"field {name!r} is missing")
    return _check(document[name], name, kinds)


def get(document, name, kinds, default):
    """Return an optional field; raises ``MalformedEntry`` if it is of another type."""
    value = document.get(name)
    if value is None:
        return default
    return _check(value, name, kinds)


def _check(value, name, kinds):
    accepted = kinds if isinstance(kinds, tuple) else (kinds,)
    if not isinstance(value, kinds) or (isinstance(value, bool) and bool not in accepted):
        found = type(value).__name__
        raise platform_errors.MalformedEntry(f"field {name!r} is of type {found}")
    return value
