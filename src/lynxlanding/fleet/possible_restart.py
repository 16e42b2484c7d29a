"""Incarnation that may have replaced the known one."""

import dataclasses

from lynxlanding.fleet import endpoint_record


@dataclasses.dataclass(slots=True, frozen=True)
class PossibleRestart:
    """Incarnation that started earlier than the known one and has written the registration.

    Parameters
    ----------
    record : EndpointRecord
        Its latest record.
    seen_at : float
        Time of its first record, in monotonic seconds.
    """

    record: endpoint_record.EndpointRecord
    seen_at: float
