"""Changes of the endpoint registry."""

import dataclasses

from lynxlanding.fleet import endpoint_record

ADDED = "added"
RESTARTED = "restarted"
LEAVING = "leaving"
REMOVED = "removed"
# The endpoint's group membership has changed.
REGROUPED = "regrouped"
# The models staged on the endpoint's host have changed.
STAGED = "staged"
# The registration is missing after an outage of the store; the endpoint is kept for a grace period.
LAPSED = "lapsed"


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointChange:
    """A change of one endpoint in the registry.

    Parameters
    ----------
    kind : str
        One of the constants of this module.
    record : EndpointRecord
        Record after the change; the last known record if the endpoint was removed.
    """

    kind: str
    record: endpoint_record.EndpointRecord
