"""Errors in the communication between nodes."""

from lynxlanding.errors import base


class MembershipError(base.LynxlandingError):
    """Base class of the errors between nodes."""

    type_name = "membership_error"


class PeerUnreachable(MembershipError):
    """Another node did not respond, or responded with an error."""

    type_name = "peer_unreachable"


class MalformedMessage(MembershipError):
    """A message between nodes could not be decoded."""

    type_name = "malformed_message"
