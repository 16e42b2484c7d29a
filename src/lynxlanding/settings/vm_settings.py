"""Settings of a node that the platform starts on a VM."""

from typing import Annotated

import pydantic

from lynxlanding.crashes import request_digest
from lynxlanding.settings import section

Ratio = Annotated[float, pydantic.Field(ge=0, le=10, allow_inf_nan=False)]
NonNegative = Annotated[float, pydantic.Field(ge=0, le=1e9, allow_inf_nan=False)]
PartId = Annotated[str, pydantic.Field(pattern=r"^[0-9a-fA-F]{1,16}$")]
Address = Annotated[str, pydantic.Field(pattern=r"^[0-9.]+:[0-9]+$")]


# Parts of the bound of evacuations. A connection to the store that has gone silent is noticed when
# a watch ends, and 0.8 s are added to its time; then a retry still fits.
EVACUATION_WATCH_SHARE = 0.5
# A relay tells the others after each watch that it still reaches the store. They read the store
# themselves after two lost datagrams, which leaves time for that.
EVACUATION_RELAY_WATCH_SHARE = 0.2
EVACUATION_FEED_SHARE = 0.6


class ServerLimits:
    """Limits of an HTTP server, as expected by ``gateway.http_server``.

    Parameters
    ----------
    concurrency : int
        Maximum number of requests handled concurrently.
    """

    # Until the first configuration, whose limits are not known yet.
    max_body_bytes = 4 << 20
    max_header_bytes = 16 << 10
    header_timeout_s = 3.0
    # Longer than the idle timeouts of callers, so that the caller closes idle connections first.
    idle_timeout_s = 60.0

    __slots__ = ("concurrency",)

    def __init__(self, concurrency):
        self.concurrency = concurrency


class VmSection(section.Section):
    """Section of a rendered template, in which a field without a value is null.

    Null fields take their defaults.
    """

    @pydantic.model_validator(mode="before")
    @classmethod
    def _drop_null_fields(cls, document):
        if not isinstance(document, dict):
            return document
        return {key: value for key, value in document.items() if value is not None}


class VmListenSettings(VmSection):
    """Addresses on which the node listens, each as ``host:port``.

    Attributes
    ----------
    callers : str
        Address for callers' requests.
    readiness : str
        Address for readiness checks by the platform.
    peers : str
        UDP address for reports of other nodes.
    metrics : str or None
        Address that serves metrics as text; if None, metrics are not served.
    """

    callers: Address
    readiness: Address
    peers: Address
    metrics: Address | None = None


class VmRequestSettings(VmSection):
    """Limits for requests.

    Attributes
    ----------
    concurrency : int
        Maximum number of requests that the node handles concurrently.
    repeat_ratio, repeat_slack : float
        Retry limit of a service: in any window, all nodes together may send ``repeat_ratio``
        retries per request plus ``repeat_slack``.
    repeat_window_s : float
        Length of the window.
    exempt_prompt_parts : list of str
        Hexadecimal ids of parts of prompts that are never refused, whatever happens to engines.
    exempt_request_digests : list of str
        Hexadecimal digests, as in log lines, of requests that are never refused for that.
    fleet_placement : bool or None
        Whether requests are placed as in a large fleet; None for fleets of more than 25 nodes.
    """

    concurrency: Annotated[int, pydantic.Field(ge=1, le=10_000)] = 400
    repeat_ratio: Ratio = 0.2
    repeat_slack: NonNegative = 0.0
    repeat_window_s: section.Seconds = 10.0
    exempt_prompt_parts: list[PartId] = []
    exempt_request_digests: list[PartId] = []
    fleet_placement: bool | None = None

    @property
    def exempt_prompt_part_keys(self):
        """The parts as numbers."""
        return frozenset(int(part_id, 16) for part_id in self.exempt_prompt_parts)

    @property
    def exempt_keys(self):
        """Keys of the parts and of the requests."""
        digests = [int(digest, 16) for digest in self.exempt_request_digests]
        requests = frozenset(request_digest.from_digest(digest) for digest in digests)
        return self.exempt_prompt_part_keys | requests


class GroupSettings(VmSection):
    """Replica groups.

    Attributes
    ----------
    load_window_s : float
        Length of the window in which the weight store limits the number of loads.
    """

    load_window_s: section.Seconds = 5.0


class EndpointSettings(VmSection):
    """Endpoints.

    Attributes
    ----------
    heartbeat_interval_ms : float
        Interval at which endpoints write their registrations.
    cold_over, cold_slack : float
        In any second, all nodes together may send an engine that has just started ``cold_over``
        times the rate that it takes, and ``cold_slack`` requests.
    """

    heartbeat_interval_ms: Annotated[float, pydantic.Field(gt=0, le=1e6)] = 1200.0
    cold_over: Ratio = 1.5
    cold_slack: NonNegative = 5.0


class EvacuationSettings(VmSection):
    """Evacuations of data centres.

    Attributes
    ----------
    bound_ms : float
        Time after which no request reaches an evacuated data centre, in milliseconds. If 0,
        evacuations are not watched.
    """

    bound_ms: Annotated[float, pydantic.Field(ge=0, le=1e6)] = 0.0

    @property
    def is_on(self):
        """Whether the node watches evacuations."""
        return self.bound_ms > 0

    @property
    def watch_timeout_s(self):
        """Longest time of a call that watches evacuations, in seconds."""
        return EVACUATION_WATCH_SHARE * self.bound_ms / 1000

    @property
    def relay_watch_timeout_s(self):
        """The same while other nodes rely on this one."""
        return EVACUATION_RELAY_WATCH_SHARE * self.bound_ms / 1000

    @property
    def feed_timeout_s(self):
        """Time without a word of the relay after which the node reads the store, in seconds."""
        return EVACUATION_FEED_SHARE * self.bound_ms / 1000


class StopSettings(VmSection):
    """Graceful shutdown of the node.

    Attributes
    ----------
    grace_s : float
        Time between SIGTERM and the platform killing the process.
    """

    grace_s: section.Seconds = 8.0


class VmLimitSettings(VmSection):
    """Limits of the VM.

    Attributes
    ----------
    memory_mb : float
        Memory of the VM, from which that for buffered requests and answers is derived.
    max_fds : int or None
        Descriptors that the process may open; if None, callers may open two connections for each
        request that the node handles concurrently.
    """

    memory_mb: Annotated[float, pydantic.Field(ge=64, le=1e6, allow_inf_nan=False)] = 256.0
    max_fds: Annotated[int, pydantic.Field(ge=256, le=10_000_000)] | None = None


class VmSettings(VmSection):
    """Settings of one node.

    Attributes
    ----------
    node_id, data_centre : str
        Unique id of the node and its data centre.
    store_address : str
        ``host:port`` of the platform's store.
    is_first_start : bool
        Whether the whole system is started for the first time.
    """

    node_id: str
    data_centre: str
    store_address: Address
    is_first_start: bool = False
    listen: VmListenSettings
    requests: VmRequestSettings = VmRequestSettings()
    groups: GroupSettings = GroupSettings()
    endpoints: EndpointSettings = EndpointSettings()
    evacuations: EvacuationSettings = EvacuationSettings()
    stop: StopSettings = StopSettings()
    limits: VmLimitSettings = VmLimitSettings()
