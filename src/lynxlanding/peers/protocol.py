"""Versions of the protocol between nodes.

A node states its version in its registration and in each report. Versions of a fleet that is being
upgraded differ for minutes, so a node sends each peer only what the peer's version understands.
docs/upgrades.md says what a change of a format must keep.
"""

# Nodes that state no version: reports to all peers, change feed, handed-over requests.
UNSTATED = 0
# Nodes that state their version, and skip datagrams of unknown kinds.
STATED = 1
# Nodes that report to gatherers in a large fleet, and understand digests.
GATHERING = 2
# Nodes that serve copies of their configuration at the address of their reports.
COPIES = 3
# Version of this node.
CURRENT = COPIES

# Start of all datagrams but reports; no packed report starts with it. The next byte is the kind.
DATAGRAM_PREFIX = b"\xfflx"


def get_kind(data):
    """Return the kind of a datagram as one byte; empty for a report."""
    if not data.startswith(DATAGRAM_PREFIX):
        return b""
    position = len(DATAGRAM_PREFIX)
    return data[position : position + 1]
