"""Changes of the endpoint registry."""

import dataclasses

from lynxlanding.fleet import endpoint_record

ADDED = "added"
RESTARTED = "restarted"
LEAVING = "leaving"
REMOVED = "removed"
# The endpoint, whose registration had come back after its removal, is alive and not leaving.
CONFIRMED = "confirmed"
# The endpoint's group membership has changed.
REGROUPED = "regrouped"
# The models staged on the endpoint's host have changed.
STAGED = "staged"
# The registration is missing after an outage of the store; the endpoint is kept for a grace period.
LAPSED = "lapsed"
# A record that does not replace the known one; the registry has not changed.
IGNORED = "ignored"


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointChange:
    """A change of one endpoint in the registry.

    Parameters
    ----------
    kind : str
        One of the constants of this module.
    record : EndpointRecord
        Record after the change; the last known record if the endpoint was removed; the received one
        if it was ignored.
    known : EndpointRecord or None
        Record before the change, if there was one.
    """

    kind: str
    record: endpoint_record.EndpointRecord
    known: endpoint_record.EndpointRecord | None = None
