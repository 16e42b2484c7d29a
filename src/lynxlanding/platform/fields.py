"""Type-checked access to the fields of decoded JSON objects."""

from lynxlanding.errors import platform as platform_errors


def require(document, name, accepted_types):
    """Return a required field.

    Parameters
    ----------
    document : dict
        Decoded JSON object; any other decoded value is rejected.
    name : str
        Name of the field on the wire.
    accepted_types : type or tuple of type
        Accepted types. A boolean is accepted only if ``bool`` is among them, although ``bool`` is
        a subclass of ``int``.

    Raises
    ------
    errors.platform.MalformedEntry
        If ``document`` is not an object, or the field is missing or of another type.
    """
    _check_object(document, name)
    if name not in document:
        raise platform_errors.MalformedEntry(f"required field {name!r} is missing")
    return _check_type(document[name], name, accepted_types)


def require_number(document, name, maximum):
    """Return a required whole number from 0 to ``maximum``.

    Raises
    ------
    errors.platform.MalformedEntry
        If the field is missing, of another type or out of range.
    """
    value = require(document, name, int)
    if not 0 <= value <= maximum:
        raise platform_errors.MalformedEntry(f"field {name!r} is out of range")
    return value


def get(document, name, accepted_types, default):
    """Return an optional field, or ``default`` if it is missing or null.

    Raises
    ------
    errors.platform.MalformedEntry
        If ``document`` is not an object, or the field is of another type.
    """
    _check_object(document, name)
    value = document.get(name)
    if value is None:
        return default
    return _check_type(value, name, accepted_types)


def _check_object(document, name):
    if not isinstance(document, dict):
        raise platform_errors.MalformedEntry(f"expected a JSON object with field {name!r}")


def _check_type(value, name, accepted_types):
    types = accepted_types if isinstance(accepted_types, tuple) else (accepted_types,)
    if not isinstance(value, accepted_types) or (isinstance(value, bool) and bool not in types):
        type_name = type(value).__name__
        raise platform_errors.MalformedEntry(f"field {name!r} has unexpected type {type_name}")
    return value
