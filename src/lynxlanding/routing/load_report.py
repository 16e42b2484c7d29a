"""Load report of one endpoint."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class LoadReport:
    """Load that an endpoint measured at an earlier moment.

    Parameters
    ----------
    address : str
        ``host:port`` of the endpoint.
    instance : str
        Identity of the endpoint's process; a new one means that it restarted.
    slots : int
        Requests that the endpoint serves at once.
    running, queued : int
        Requests of all nodes at the endpoint.
    measured_at : float
        Moment of the measurement on the receiver's monotonic clock, in seconds.
    draining : bool
        Whether the endpoint says that it is leaving.
    model, version : str or None
        What an engine serves.
    adapters : tuple of str
        Adapters that an engine has loaded.
    group : str or None
        Replica group of the engine.
    epoch : int or None
        Epoch of the replica group.
    """

    address: str
    instance: str
    slots: int
    running: int
    queued: int
    measured_at: float
    draining: bool = False
    model: str | None = None
    version: str | None = None
    adapters: tuple = ()
    group: str | None = None
    epoch: int | None = None
