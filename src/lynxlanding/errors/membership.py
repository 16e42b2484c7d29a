"""Failures of the communication between nodes."""

from lynxlanding.errors import base


class MembershipError(base.LynxlandingError):
    """Root of the failures between nodes."""

    type_name = "membership_error"


class PeerUnreachable(MembershipError):
    """A node did not answer, or answered with an error."""

    type_name = "peer_unreachable"


class MalformedMessage(MembershipError):
    """A message between nodes could not be decoded."""

    type_name = "malformed_message"
