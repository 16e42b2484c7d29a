"""Changes of the registry."""

import dataclasses

from lynxlanding.fleet import endpoint_record

ADDED = "added"
RESTARTED = "restarted"
LEAVING = "leaving"
REMOVED = "removed"
REGROUPED = "regrouped"
STAGED = "staged"
LAPSED = "lapsed"


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointChange:
    """One change of what the node believes about an endpoint.

    Parameters
    ----------
    kind : str
        One of the constants of this module.
    record : EndpointRecord
        The endpoint after the change; the last record known when it was removed.
    """

    kind: str
    record: endpoint_record.EndpointRecord
