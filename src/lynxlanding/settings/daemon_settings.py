"""Settings of one node."""

from typing import Annotated, Literal

import pydantic

Port = Annotated[int, pydantic.Field(ge=1, le=65535)]
Seconds = Annotated[float, pydantic.Field(gt=0, le=1e6, allow_inf_nan=False)]


class Section(pydantic.BaseModel):
    """Root of the sections; unknown keys are refused by name."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class ListenSettings(Section):
    """Addresses that the node listens on.

    Attributes
    ----------
    host : str
        IP address of both listeners.
    port : int
        Port for callers.
    peer_port : int
        Port for other nodes and operators.
    """

    host: str = "127.0.0.1"
    port: Port
    peer_port: Port


class PlatformSettings(Section):
    """Base URLs of the platform's services."""

    object_api: str
    vm_list: str | None = None
    weight_store: str | None = None


class RequestSettings(Section):
    """Limits of requests.

    Attributes
    ----------
    default_timeout_s, max_timeout_s : float
        Deadline without the header, and the largest one that is accepted.
    max_body_bytes, max_header_bytes : int
        Larger requests are refused.
    concurrency : int
        Requests that the node handles at once.
    idle_timeout_s : float
        An incomplete request is abandoned after this long without a byte.
    stall_timeout_s : float
        An engine that sends nothing for this long is given up and its stream resumed elsewhere.
    claim_writes_per_s : float
        Store writes per second that all nodes together may spend on claims. Nodes share it
        equally.
    """

    default_timeout_s: Seconds = 60.0
    max_timeout_s: Seconds = 600.0
    max_body_bytes: Annotated[int, pydantic.Field(ge=1024, le=1 << 30)] = 4 << 20
    max_header_bytes: Annotated[int, pydantic.Field(ge=1024, le=1 << 20)] = 32 << 10
    concurrency: Annotated[int, pydantic.Field(ge=1, le=10_000)] = 1000
    idle_timeout_s: Seconds = 10.0
    stall_timeout_s: Seconds = 10.0
    # The target for the whole fleet is below 100 writes/s for all purposes.
    claim_writes_per_s: Annotated[float, pydantic.Field(gt=0, le=1e6, allow_inf_nan=False)] = 80.0


class RoutingSettings(Section):
    """Routing of requests to endpoints.

    Attributes
    ----------
    policy : str
        One of ``random``, ``two_choices``, ``least_loaded``, ``prefix_affinity``.
    report_interval_s : float
        Interval between load polls of one endpoint.
    """

    policy: Literal["random", "two_choices", "least_loaded", "prefix_affinity"] = "prefix_affinity"
    report_interval_s: Seconds = 0.5


class DrainSettings(Section):
    """Graceful shutdown of the node.

    Attributes
    ----------
    unready_s : float
        Time between becoming unready and closing the listener, so that the balancer notices.
    limit_s : float
        Longest wait for requests in flight.
    """

    unready_s: Seconds = 2.0
    limit_s: Seconds = 600.0


class MembershipSettings(Section):
    """Gossip between nodes.

    Attributes
    ----------
    peers : tuple of str
        ``host:port`` of peer listeners to contact when the store is unavailable.
    exchange_interval_s : float
        Interval between exchanges with a peer of the own data centre.
    """

    peers: tuple[str, ...] = ()
    exchange_interval_s: Seconds = 0.5


class ConfigurationSettings(Section):
    """Propagation of the accepted configuration.

    Attributes
    ----------
    uncertain_after_s : float
        Age of the last confirmation by the store after which the node is uncertain.
    uncertain_limit_s : float
        Age after which the node becomes unready.
    """

    uncertain_after_s: Seconds = 13.0
    uncertain_limit_s: Seconds = 7200.0


class LatencyObjective(Section):
    """Objective for a latency.

    Attributes
    ----------
    threshold_s : float
        Largest latency of a good event.
    target : float
        Share of the events that must be good.
    """

    threshold_s: Seconds
    target: Annotated[float, pydantic.Field(gt=0, lt=1)]


class ShareObjective(Section):
    """Objective for a share of events or of time.

    Attributes
    ----------
    target : float
        Share that must be good.
    """

    target: Annotated[float, pydantic.Field(gt=0, lt=1)]


class ObjectivesSettings(Section):
    """Service-level objectives over 30 days.

    Attributes
    ----------
    first_token : LatencyObjective
        Time from the arrival of a request to the first token.
    token_interval : LatencyObjective
        Time between two tokens.
    whole_answer : ShareObjective
        Requests that are answered as a whole.
    group_downtime : ShareObjective
        Time of the replica groups in which they serve.
    stranded : ShareObjective
        Time of the held accelerators in which they can serve.
    write_interval_s : float
        Interval between writes of the counts to the store.
    """

    first_token: LatencyObjective = LatencyObjective(threshold_s=0.67, target=0.95)
    token_interval: LatencyObjective = LatencyObjective(threshold_s=0.025, target=0.95)
    whole_answer: ShareObjective = ShareObjective(target=0.999)
    group_downtime: ShareObjective = ShareObjective(target=0.999)
    stranded: ShareObjective = ShareObjective(target=0.99)
    write_interval_s: Seconds = 60.0

    def targets(self):
        """Return the targets by objective."""
        return {
            "first_token": self.first_token.target,
            "token_interval": self.token_interval.target,
            "whole_answer": self.whole_answer.target,
            "group_downtime": self.group_downtime.target,
            "stranded": self.stranded.target,
        }


class GroupSettings(Section):
    """Replica groups.

    Attributes
    ----------
    probe_interval_s : float
        Interval between probes of one VM; 2 s at the design size.
    evidence_bound_s : float
        Age at which a VM that was seen alive counts as missing.
    vm_list_interval_s : float
        Interval between reads of the VM list.
    downtime_weight, stranded_weight : float
        Weights of the repair policy.
    stranded_bound_s : float
        Longest time for which an incomplete group holds accelerators.
    load_timeout_s : float
        A group that is not ready after this time is loaded again.
    order_timeout_s : float
        Timeout of an order; not above the margin of the lease, 3 s.
    tokens_per_s_per_replica : float or None
        Measured rate of one replica group, from which the owed replicas follow; None means that
        every desired replica is owed.
    """

    probe_interval_s: Seconds = 1.0
    evidence_bound_s: Annotated[float, pydantic.Field(gt=0, le=5.0)] = 3.0
    vm_list_interval_s: Seconds = 1.0
    downtime_weight: Annotated[float, pydantic.Field(gt=0, le=1e6)] = 1.0
    stranded_weight: Annotated[float, pydantic.Field(gt=0, le=1e6)] = 1.0
    stranded_bound_s: Seconds = 300.0
    load_timeout_s: Seconds = 900.0
    order_timeout_s: Annotated[float, pydantic.Field(gt=0, le=3.0)] = 3.0
    tokens_per_s_per_replica: Annotated[float, pydantic.Field(gt=0)] | None = None


class DaemonSettings(Section):
    """Settings of ``lynxlandingd``.

    Attributes
    ----------
    node_id : str
        Unique name of the node.
    place : str
        Data centre of the node.
    region : str
        Region of the data centre.
    seed : int or None
        Seed of the random state; None takes one from the operating system.
    """

    node_id: Annotated[str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
    place: Annotated[str, pydantic.Field(min_length=1, max_length=63)]
    region: str = "default"
    seed: int | None = None
    listen: ListenSettings
    platform: PlatformSettings
    requests: RequestSettings = RequestSettings()
    routing: RoutingSettings = RoutingSettings()
    drain: DrainSettings = DrainSettings()
    membership: MembershipSettings = MembershipSettings()
    configuration: ConfigurationSettings = ConfigurationSettings()
    objectives: ObjectivesSettings = ObjectivesSettings()
    groups: GroupSettings = GroupSettings()
