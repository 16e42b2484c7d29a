"""Load report of one endpoint."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class LoadReport:
    """Load that an endpoint measured at an earlier time.

    Parameters
    ----------
    address : str
        ``host:port`` of the endpoint.
    instance : str
        Id of the endpoint's process; it changes when the endpoint restarts.
    slots : int
        Number of requests that the endpoint runs concurrently.
    running, queued : int
        Numbers of requests that run and wait at the endpoint, from all nodes.
    measured_at : float
        Time of the measurement on the receiver's monotonic clock, in seconds.
    draining : bool
        Whether the endpoint reports that it is leaving.
    model, version : str or None
        Model that an engine serves, and its version; None if the endpoint reports none.
    adapters : tuple of str
        Model adapters that an engine has loaded.
    group : str or None
        Replica group of the engine; None if it has no group.
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
