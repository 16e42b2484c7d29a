"""Addresses of the form ``host:port``."""

import ipaddress
import re

_PORT = re.compile(r"[0-9]{1,5}")
_MAX_PORT = 65535


def is_valid(address):
    """Return whether an address names an IP host and a TCP or UDP port."""
    host, _, port = address.rpartition(":")
    # ``str.isdigit`` accepts characters that ``int`` does not.
    if _PORT.fullmatch(port) is None or not 1 <= int(port) <= _MAX_PORT:
        return False
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True
