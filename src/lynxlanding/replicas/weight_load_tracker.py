"""Tracks loads from the weight store that are in progress."""

import dataclasses

# A load without an effect after this multiple of the load time has failed or never started.
LOAD_TIMEOUT_FACTOR = 1.5
# Share of the weight store's concurrent loads that loads of additional models may use. The rest is
# reserved for engines that hold no model yet.
BACKGROUND_SHARE = 0.5


@dataclasses.dataclass(slots=True, frozen=True)
class _Load:
    model: str | None
    started_ms: int
    expires_at: float


class WeightLoadTracker:
    """Loads that this node has ordered; performs no I/O.

    Above the weight store's limit all loads slow down in proportion: at four times the limit none
    finishes while a request still waits for it.
    """

    def __init__(self):
        self._loads = {}

    @property
    def loads_in_progress(self):
        """Model that each engine loads, by endpoint id; None if the model is unknown."""
        return {endpoint_id: load.model for endpoint_id, load in list(self._loads.items())}

    def start(self, record, model, load_s, now):
        """Record that an engine was ordered to load a model.

        Parameters
        ----------
        record : EndpointRecord
            Engine that loads the model.
        model : str or None
            Model being loaded; None if the engine loads another, unknown model.
        load_s : float
            Expected duration of the load, in seconds.
        now : float
            Monotonic seconds.
        """
        expires_at = now + LOAD_TIMEOUT_FACTOR * load_s
        self._loads[record.endpoint_id] = _Load(model, record.started_ms, expires_at)

    def cancel(self, endpoint_id):
        """Remove a load that did not start."""
        self._loads.pop(endpoint_id, None)

    def remove_finished(self, records, now):
        """Remove loads that have finished, failed or timed out.

        Parameters
        ----------
        records : dict of str to EndpointRecord
            Registered endpoints by id.
        now : float
            Monotonic seconds.
        """
        for endpoint_id, load in list(self._loads.items()):
            record = records.get(endpoint_id)
            if record is None or record.started_ms != load.started_ms or now >= load.expires_at:
                del self._loads[endpoint_id]
                continue
            if load.model in record.staged_models or load.model in record.models:
                del self._loads[endpoint_id]


def can_start_load(max_concurrent_loads, loads_in_progress, *, is_background):
    """Return whether another load may start while requests are being served.

    Parameters
    ----------
    max_concurrent_loads : float
        Concurrent loads that the weight store serves at full speed, for the whole fleet.
    loads_in_progress : int
        Loads in progress in the whole fleet.
    is_background : bool
        Whether the engine already holds another model, so that the load can wait.
    """
    limit = max_concurrent_loads * BACKGROUND_SHARE if is_background else max_concurrent_loads
    return loads_in_progress < max(1.0, limit)
