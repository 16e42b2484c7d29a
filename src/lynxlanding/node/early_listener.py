"""Lets callers connect while the process is still importing its modules.

After a loss of power every node starts at once. Callers that are turned away then use up their
retries; those that are connected wait the few tenths of a second that the imports take.
"""

import socket

import yaml

# As many callers as may connect before the server accepts them.
BACKLOG = 2048


def listen(path):
    """Return a socket that listens at the callers' address, or None.

    The settings are checked later; whatever is wrong with them or with the address is reported
    then, so nothing is reported here.

    Parameters
    ----------
    path : str or None
        Path of the settings file.
    """
    if path is None:
        return None
    try:
        with open(path, encoding="utf-8") as file:
            address = yaml.safe_load(file)["listen"]["callers"]
        host, _, port = address.rpartition(":")
        port = int(port)
    except (OSError, yaml.YAMLError, LookupError, TypeError, AttributeError, ValueError):
        return None
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
        listener.listen(BACKLOG)
    except (OSError, OverflowError):
        listener.close()
        return None
    return listener
