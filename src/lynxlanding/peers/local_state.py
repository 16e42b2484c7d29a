"""State that a node reports to its peers."""

import dataclasses

from lynxlanding.crashes import statements
from lynxlanding.dispatch import cold_statement, limit_statement, stated_leavings
from lynxlanding.fleet import evacuated_data_centres


@dataclasses.dataclass(slots=True, frozen=True)
class LocalState:
    """State of this node at the time of a report.

    Parameters
    ----------
    loads : dict of str to int
        This node's requests in flight by endpoint id.
    stalled : frozenset of str
        Endpoints that this node recently saw stalling.
    configuration_version : int
        Version of the configuration in force; 0 if there is none.
    has_traffic : bool
        Whether a caller's request is known to have arrived at any node.
    busy_groups : dict of str to float
        Number of groups that this node's requests keep busy, by model.
    loading : frozenset of str
        Engines that are loading weights on this node's orders.
    is_store_unavailable : bool
        Whether the store refuses or does not answer this node.
    limits : list of EndpointStatement
        What endpoints have stated to this node about the rate of requests that they take.
    limit_changes : int
        Number of changes of these limits, of which peers should hear at once.
    prompts : PromptStatements
        What this node knows about ends of endpoints and parts of prompts, in monotonic seconds.
    prompt_changes : int
        Number of changes of the latter, of which peers should hear soon.
    urgent_changes : int
        Number of changes that all peers should hear of at once.
    takes_requests : bool
        Whether this node takes requests of nodes that reach no endpoint.
    is_cut : bool
        Whether this node itself reaches no endpoint.
    leavings : list of LeavingStatement
        Endpoints that have said to this node in responses that they are leaving.
    leaving_changes : int
        Number of such endpoints so far, of which peers should hear at once.
    cold : list of ColdStatement
        Endpoints that are cold as far as this node itself can tell.
    cold_changes : int
        Number of such endpoints so far that only this node can know of.
    evacuations : EvacuationReading or None
        What this node has read about evacuations; None if it has not, or does not watch them.
    evacuation_changes : int
        Number of changes of evacuations, of which peers should hear at once.
    """

    loads: dict[str, int]
    stalled: frozenset[str]
    configuration_version: int
    has_traffic: bool
    busy_groups: dict[str, float]
    loading: frozenset[str]
    is_store_unavailable: bool
    limits: list[limit_statement.EndpointStatement]
    limit_changes: int
    prompts: statements.PromptStatements
    prompt_changes: int
    urgent_changes: int
    takes_requests: bool
    is_cut: bool
    leavings: list[stated_leavings.LeavingStatement]
    leaving_changes: int
    cold: list[cold_statement.ColdStatement] = dataclasses.field(default_factory=list)
    cold_changes: int = 0
    evacuations: evacuated_data_centres.EvacuationReading | None = None
    evacuation_changes: int = 0
