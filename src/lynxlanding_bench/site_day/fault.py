"""One fault of a day, and the kinds of faults that the stand-in site and its nodes can have."""

import dataclasses

# Scopes of faults.
ENDPOINTS = "endpoints"
NODES = "nodes"
SITE = "site"


@dataclasses.dataclass(slots=True, frozen=True)
class FaultKind:
    """What a kind of fault needs.

    Parameters
    ----------
    scope : str
        ``ENDPOINTS``, ``NODES`` or ``SITE``: what its targets are; the site has none.
    needs_duration : bool
        Whether the fault lasts for a time; the others happen at once and end by themselves.
    value_type : type or None
        Type of its value; None if it has none.
    values : tuple
        Accepted values; empty if all of the type are.
    """

    scope: str
    needs_duration: bool = False
    value_type: type | None = None
    values: tuple = ()


KINDS = {
    # Endpoints.
    "pause": FaultKind(ENDPOINTS, needs_duration=True),
    "crash": FaultKind(ENDPOINTS, needs_duration=True),
    "reset": FaultKind(ENDPOINTS),
    "no_heartbeats": FaultKind(ENDPOINTS, needs_duration=True),
    "leave": FaultKind(ENDPOINTS),
    "leave_unannounced": FaultKind(ENDPOINTS),
    "state_leaving": FaultKind(ENDPOINTS),
    "state_limit": FaultKind(ENDPOINTS, needs_duration=True, value_type=float),
    "cold": FaultKind(ENDPOINTS, needs_duration=True),
    "evacuate": FaultKind(ENDPOINTS, needs_duration=True),
    "reject": FaultKind(ENDPOINTS, needs_duration=True, value_type=float),
    # Nodes.
    "cut": FaultKind(
        NODES, needs_duration=True, value_type=str, values=("hang", "reset", "refuse_new")
    ),
    "cut_store": FaultKind(NODES, needs_duration=True),
    "freeze": FaultKind(NODES, needs_duration=True),
    "kill": FaultKind(NODES, needs_duration=True),
    "stop": FaultKind(NODES, needs_duration=True),
    # The site as a whole.
    "crash_part": FaultKind(SITE, needs_duration=True, value_type=str),
    "store": FaultKind(SITE, needs_duration=True, value_type=str, values=("silent", "busy")),
    "roll_back_store": FaultKind(SITE, needs_duration=True),
    "lose_answers": FaultKind(SITE, value_type=int),
    "configuration": FaultKind(SITE, value_type=int),
}


@dataclasses.dataclass(slots=True, frozen=True)
class Fault:
    """A fault as its file states it.

    Parameters
    ----------
    line : int
        Line of the file at which it begins.
    at_s : float
        Seconds from the start of the load.
    kind : str
        One of ``KINDS``.
    targets : tuple of str
        Ids of endpoints or names of nodes; empty for the site.
    for_s : float
        Duration in seconds; 0 if the kind has none.
    value : object
        Value of the kind, or None.
    """

    line: int
    at_s: float
    kind: str
    targets: tuple[str, ...]
    for_s: float = 0.0
    value: object = None
