"""Settings of ``lynxlandingd``."""

from typing import Annotated, Literal

import pydantic

from lynxlanding.settings import section

Port = Annotated[int, pydantic.Field(ge=1, le=65535)]


class ListenSettings(section.Section):
    """Addresses on which the node listens.

    Attributes
    ----------
    host : str
        IP address for both ports.
    port : int
        Port for callers' requests.
    peer_port : int
        Port for requests of other nodes and operators.
    """

    host: str = "127.0.0.1"
    port: Port
    peer_port: Port


class PlatformSettings(section.Section):
    """Base URLs of the platform's services."""

    object_api: str
    vm_list: str | None = None
    weight_store: str | None = None


class RequestSettings(section.Section):
    """Limits for requests.

    Attributes
    ----------
    default_timeout_s, max_timeout_s : float
        Timeout of requests without a timeout header, and the largest timeout accepted.
    max_body_bytes, max_header_bytes : int
        Maximum sizes of body and headers; larger requests are refused.
    concurrency : int
        Maximum number of requests that the node handles concurrently.
    header_timeout_s : float
        Time in which the headers of a request must arrive.
    idle_timeout_s : float
        Time without received data after which an incomplete request is abandoned.
    stall_timeout_s : float
        Time without data after which an engine's stream is abandoned and resumed on another
        engine.
    claim_writes_per_s : float
        Limit on store writes per second for claims of all nodes together. Each node gets an equal
        share.
    """

    default_timeout_s: section.Seconds = 60.0
    max_timeout_s: section.Seconds = 600.0
    max_body_bytes: Annotated[int, pydantic.Field(ge=1024, le=1 << 30)] = 4 << 20
    max_header_bytes: Annotated[int, pydantic.Field(ge=1024, le=1 << 20)] = 32 << 10
    concurrency: Annotated[int, pydantic.Field(ge=1, le=10_000)] = 1000
    header_timeout_s: section.Seconds = 3.0
    idle_timeout_s: section.Seconds = 10.0
    stall_timeout_s: section.Seconds = 10.0
    # Leaves room for other writes: the target for all store writes of the fleet is below 100/s.
    claim_writes_per_s: Annotated[float, pydantic.Field(gt=0, le=1e6, allow_inf_nan=False)] = 80.0


class RoutingSettings(section.Section):
    """Request routing.

    Attributes
    ----------
    policy : str
        Routing policy: ``random``, ``two_choices``, ``least_loaded`` or ``prefix_affinity``.
    report_interval_s : float
        Interval between two load polls of an endpoint.
    """

    policy: Literal["random", "two_choices", "least_loaded", "prefix_affinity"] = "prefix_affinity"
    report_interval_s: section.Seconds = 0.5


class DrainSettings(section.Section):
    """Graceful shutdown of the node.

    Attributes
    ----------
    unready_s : float
        Time between reporting unready and closing the listener, in which the load balancer stops
        sending requests.
    limit_s : float
        Maximum wait for requests in flight.
    """

    unready_s: section.Seconds = 2.0
    limit_s: section.Seconds = 600.0


class MembershipSettings(section.Section):
    """Gossip between nodes.

    Attributes
    ----------
    peers : tuple of str
        ``host:port`` of peer listeners to contact when the store is unavailable.
    exchange_interval_s : float
        Interval between gossip exchanges with a peer in the same data centre.
    """

    peers: tuple[str, ...] = ()
    exchange_interval_s: section.Seconds = 0.5


class ConfigurationSettings(section.Section):
    """Propagation of configuration revisions.

    Attributes
    ----------
    uncertain_after_s : float
        Time since the store last confirmed the node's revision after which the revision counts as
        uncertain.
    uncertain_limit_s : float
        Time since the last confirmation after which the node becomes unready.
    """

    uncertain_after_s: section.Seconds = 13.0
    uncertain_limit_s: section.Seconds = 7200.0


class LatencyObjective(section.Section):
    """Service-level objective for a latency.

    Attributes
    ----------
    threshold_s : float
        Maximum latency of a good event.
    target : float
        Required share of good events.
    """

    threshold_s: section.Seconds
    target: Annotated[float, pydantic.Field(gt=0, lt=1)]


class ShareObjective(section.Section):
    """Service-level objective for a share of events or of time.

    Attributes
    ----------
    target : float
        Required share of good events or of good time.
    """

    target: Annotated[float, pydantic.Field(gt=0, lt=1)]


class ObjectivesSettings(section.Section):
    """Service-level objectives over 30 days.

    Attributes
    ----------
    first_token : LatencyObjective
        Time from the arrival of a request to the first token.
    token_interval : LatencyObjective
        Time between two tokens.
    whole_answer : ShareObjective
        Share of requests that receive a complete response.
    group_downtime : ShareObjective
        Share of time in which replica groups serve.
    stranded : ShareObjective
        Share of time in which accelerators assigned to replica groups can serve.
    write_interval_s : float
        Interval between writes of the event counts to the store.
    """

    first_token: LatencyObjective = LatencyObjective(threshold_s=0.67, target=0.95)
    token_interval: LatencyObjective = LatencyObjective(threshold_s=0.025, target=0.95)
    whole_answer: ShareObjective = ShareObjective(target=0.999)
    group_downtime: ShareObjective = ShareObjective(target=0.999)
    stranded: ShareObjective = ShareObjective(target=0.99)
    write_interval_s: section.Seconds = 60.0

    def targets(self):
        """Return the targets by name of the objective."""
        return {
            "first_token": self.first_token.target,
            "token_interval": self.token_interval.target,
            "whole_answer": self.whole_answer.target,
            "group_downtime": self.group_downtime.target,
            "stranded": self.stranded.target,
        }


class GroupSettings(section.Section):
    """Replica groups.

    Attributes
    ----------
    probe_interval_s : float
        Interval between two probes of a VM; 2 s at the design size.
    evidence_bound_s : float
        Age above which a successful probe no longer counts and the VM is considered missing.
    vm_list_interval_s : float
        Interval between reads of the VM list.
    downtime_weight, stranded_weight : float
        Weights of group downtime and of stranded accelerators in the repair policy.
    stranded_bound_s : float
        Maximum time for which an incomplete group keeps its accelerators.
    load_timeout_s : float
        Time after which loading is restarted if the group is not ready.
    order_timeout_s : float
        Timeout of an order to an engine; at most the lease margin of 3 s.
    tokens_per_s_per_replica : float or None
        Measured throughput of one replica group, from which the number of owed replicas is
        calculated; if None, every desired replica is owed.
    """

    probe_interval_s: section.Seconds = 1.0
    evidence_bound_s: Annotated[float, pydantic.Field(gt=0, le=5.0)] = 3.0
    vm_list_interval_s: section.Seconds = 1.0
    downtime_weight: Annotated[float, pydantic.Field(gt=0, le=1e6)] = 1.0
    stranded_weight: Annotated[float, pydantic.Field(gt=0, le=1e6)] = 1.0
    stranded_bound_s: section.Seconds = 300.0
    load_timeout_s: section.Seconds = 900.0
    order_timeout_s: Annotated[float, pydantic.Field(gt=0, le=3.0)] = 3.0
    tokens_per_s_per_replica: Annotated[float, pydantic.Field(gt=0)] | None = None


class LimitSettings(section.Section):
    """Limits of the machine.

    Attributes
    ----------
    memory_mb : float
        Memory from which that for buffered requests and answers is derived.
    max_fds : int or None
        Descriptors that the process may open; if None, callers may open two connections for each
        request that the node handles concurrently.
    """

    memory_mb: Annotated[float, pydantic.Field(ge=64, le=1e6, allow_inf_nan=False)] = 256.0
    max_fds: Annotated[int, pydantic.Field(ge=256, le=10_000_000)] | None = None


class DaemonSettings(section.Section):
    """Settings of ``lynxlandingd``.

    Attributes
    ----------
    node_id : str
        Unique id of the node.
    place : str
        Data centre of the node.
    region : str
        Region of the data centre.
    seed : int or None
        Seed of the random number generator; if None, the operating system provides one.
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
    limits: LimitSettings = LimitSettings()
