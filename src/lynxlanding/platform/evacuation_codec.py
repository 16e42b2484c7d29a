"""Decoding of evacuations in the platform's store."""

from lynxlanding.errors import platform as platform_errors

KIND = "evacuations"

# Names go into log lines and into the reports between nodes.
MAX_NAME_CHARACTERS = 128


def decode(name):
    """Return the data centre that an entry asks to evacuate.

    The entry is named after it, and its value says nothing.

    Raises
    ------
    errors.platform.MalformedEntry
        If the name cannot be that of a data centre.
    """
    if not 0 < len(name) <= MAX_NAME_CHARACTERS or not name.isprintable():
        raise platform_errors.MalformedEntry("the name cannot be that of a data centre")
    return name
