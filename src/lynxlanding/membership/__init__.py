"""Node list, gossip, failure detection and the peer transport."""

from lynxlanding.membership import (
    capnp_codec,
    gossip,
    json_codec,
    mark,
    member,
    message_codec,
    messages,
    node_info,
    place_summary,
    rendezvous,
    scopes,
)

__all__ = [
    "capnp_codec",
    "gossip",
    "json_codec",
    "mark",
    "member",
    "message_codec",
    "messages",
    "node_info",
    "place_summary",
    "rendezvous",
    "scopes",
]
