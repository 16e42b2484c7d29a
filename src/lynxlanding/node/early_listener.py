"""Accepts TCP connections while the process is still importing its modules.

After a power failure all nodes start at the same time. Callers whose connections are refused use
up their retries, whereas connected ones wait the few tenths of a second that the imports take.
"""

import socket

import yaml

# Connections that can queue until the HTTP server accepts them.
LISTEN_BACKLOG = 2048


def listen(path):
    """Return a socket that listens on the callers' address, or None.

    The settings are validated later, and errors in them or in the address are reported then. This
    function reports none.

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
        listener.listen(LISTEN_BACKLOG)
    except (OSError, OverflowError):
        listener.close()
        return None
    return listener
