"""Changes of the endpoint registry."""

import dataclasses

from lynxlanding.fleet import endpoint_record

ADDED = "added"
RESTARTED = "restarted"
LEAVING = "leaving"
REMOVED = "removed"
# An incarnation that started earlier than the known one, by its clock, has written the entry. The
# known record stays, without requests, until it is clear which of them lives.
RESTART_SUSPECTED = "restart_suspected"
# The endpoint gets no requests until it is confirmed.
UNCONFIRMED = "unconfirmed"
# An unconfirmed endpoint gets requests again.
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
        if it was ignored or if it makes a restart likely.
    known : EndpointRecord or None
        Record before the change, if there was one.
    """

    kind: str
    record: endpoint_record.EndpointRecord
    known: endpoint_record.EndpointRecord | None = None


def find_changes(known, record):
    """Return the changes by which a record follows the known one, which is None for a new one."""
    if known is None:
        return [EndpointChange(ADDED, record)]
    kinds = []
    if known.started_ms != record.started_ms:
        kinds.append(RESTARTED)
    elif known.is_unconfirmed and not record.is_unconfirmed:
        kinds.append(CONFIRMED)
    if record.is_leaving and not known.is_leaving:
        kinds.append(LEAVING)
    if known.membership != record.membership:
        kinds.append(REGROUPED)
    elif known.staged_models != record.staged_models:
        kinds.append(STAGED)
    return [EndpointChange(kind, record, known) for kind in kinds]
