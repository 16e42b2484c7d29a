"""Row types of the tables that queries read.

The field names are the column names of the query language. Durations are in seconds.
"""

import dataclasses
import datetime

SERVING = "serving"
LEAVING = "leaving"
INCOMPLETE = "incomplete"
LOADING = "loading"
UNREACHABLE = "unreachable"
EJECTED = "ejected"


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointRow:
    """One endpoint; ``leaving_because`` lists the sources that report it as leaving."""

    address: str
    service: str
    model: str
    version: str
    place: str
    fabric_domain: str
    group: str
    state: str
    leaving_because: str
    slots: int
    running: int
    queued: int
    in_flight: int
    accelerators: int


@dataclasses.dataclass(slots=True, frozen=True)
class GroupRow:
    """One replica group; ``stranded_s`` is the time for which it has been incomplete."""

    group: str
    model: str
    version: str
    place: str
    fabric_domain: str
    epoch: int
    state: str
    vms: int
    vms_missing: int
    accelerators: int
    stranded_accelerators: int
    stranded_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class WorkspaceRow:
    """One workspace with the rates that it is owed."""

    workspace: str
    owed_requests_per_s: float
    owed_tokens_per_s: float
    until: datetime.datetime | None
    tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class ModelRow:
    """One model with its desired replicas and its serving endpoints."""

    model: str
    version: str
    vms_per_replica: int
    replicas: int
    endpoints_serving: int


@dataclasses.dataclass(slots=True, frozen=True)
class NodeRow:
    """One node of the system.

    The state is live, suspected (not heard from recently) or unreachable (live, but its status
    request failed; its revision is then 0). ``confirmed_age_s`` is the time since the
    store confirmed the node's revision.
    """

    node: str
    place: str
    region: str
    state: str
    revision: int
    uncertain: bool
    confirmed_age_s: float | None


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceRow:
    """One service with the number of its endpoints."""

    service: str
    kind: str
    model: str
    endpoints: int
    endpoints_serving: int


@dataclasses.dataclass(slots=True, frozen=True)
class DrainRow:
    """One accepted drain; ``in_flight`` is the number of this node's requests at the endpoint."""

    drain: str
    address: str
    reason: str
    in_flight: int


@dataclasses.dataclass(slots=True, frozen=True)
class WinddownRow:
    """One step of a wind-down plan that has not ended.

    Groups drain from ``first_drain_at`` and are released by ``released_by``. ``due`` is
    whether the time of the step has passed; ``warning`` says why the step cannot be met.
    """

    model: str
    at: datetime.datetime
    replicas_before: int
    replicas: int
    owed_before: int
    drains_ahead: int
    drains_at_step: int
    first_drain_at: datetime.datetime
    released_by: datetime.datetime
    date: datetime.datetime
    due: bool
    warning: str
