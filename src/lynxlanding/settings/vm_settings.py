"""Settings of a node on the users' platform."""

from typing import Annotated

import pydantic

from lynxlanding.settings import daemon_settings

Fraction = Annotated[float, pydantic.Field(ge=0, le=10, allow_inf_nan=False)]
Count = Annotated[float, pydantic.Field(ge=0, le=1e9, allow_inf_nan=False)]
Address = Annotated[str, pydantic.Field(pattern=r"^[0-9.]+:[0-9]+$")]


class ServerLimits:
    """Limits of an HTTP server, as ``gateway.http_server`` takes them.

    Parameters
    ----------
    concurrency : int
        Requests handled at once.
    """

    # The configuration's limits are checked for each request; these only bound the memory.
    max_body_bytes = 16 << 20
    max_header_bytes = 64 << 10
    # Longer than any idle timeout of callers, which close first.
    idle_timeout_s = 60.0

    __slots__ = ("concurrency",)

    def __init__(self, concurrency):
        self.concurrency = concurrency


class VmSection(daemon_settings.Section):
    """Section of a filled-in template, where a field without a value is empty."""

    @pydantic.model_validator(mode="before")
    @classmethod
    def _drop_empty(cls, document):
        if not isinstance(document, dict):
            return document
        return {key: value for key, value in document.items() if value is not None}


class VmListenSettings(VmSection):
    """Addresses that the node listens on, each as ``host:port``.

    Attributes
    ----------
    callers : str
        Callers' requests.
    readiness : str
        Readiness checks of the platform.
    peers : str
        Reports of other nodes, over UDP.
    metrics : str or None
        Metrics as text.
    """

    callers: Address
    readiness: Address
    peers: Address
    metrics: Address | None = None


class VmRequestSettings(VmSection):
    """Limits of requests.

    Attributes
    ----------
    concurrency : int
        Requests that the node handles at once.
    repeat_ratio, repeat_slack : float
        Repeats that all nodes together may send to a service: a part of its requests, and more.
    repeat_window_s : float
        Window of that limit.
    """

    concurrency: Annotated[int, pydantic.Field(ge=1, le=10_000)] = 400
    repeat_ratio: Fraction = 0.2
    repeat_slack: Count = 0.0
    repeat_window_s: daemon_settings.Seconds = 10.0


class GroupSettings(VmSection):
    """Times of replica groups.

    Attributes
    ----------
    load_window_s : float
        Window of the weight store's limit on loads.
    """

    load_window_s: daemon_settings.Seconds = 5.0


class StopSettings(VmSection):
    """Planned stop.

    Attributes
    ----------
    grace_s : float
        Time from SIGTERM until the process is killed.
    """

    grace_s: daemon_settings.Seconds = 8.0


class VmSettings(VmSection):
    """Settings of one node.

    Attributes
    ----------
    node_id, data_centre : str
        Identity of the node.
    store_address : str
        ``host:port`` of the platform's store.
    is_first_start : bool
        Whether the whole system starts for the first time.
    """

    node_id: str
    data_centre: str
    store_address: Address
    is_first_start: bool = False
    listen: VmListenSettings
    requests: VmRequestSettings = VmRequestSettings()
    groups: GroupSettings = GroupSettings()
    stop: StopSettings = StopSettings()
