"""Loads from the weight store that are under way."""

import dataclasses

# A load that shows no effect after so many load times has failed or was never begun.
LONGEST_FACTOR = 1.5
# Loads that only make engines more versatile leave this part of the weight store to those that
# engines without any model wait for.
BACKGROUND_PART = 0.5


@dataclasses.dataclass(slots=True, frozen=True)
class _Load:
    model: str | None
    born_ms: int
    until: float


class LoadTracker:
    """Loads that this node has ordered, without I/O.

    Beyond the weight store's limit every load takes proportionally longer: with four times as many
    loads none is done while callers wait for it.
    """

    def __init__(self):
        self._loads = {}

    @property
    def under_way(self):
        """Loads under way as a dict of endpoint id to model; None where it is unknown."""
        return {endpoint_id: load.model for endpoint_id, load in list(self._loads.items())}

    def begin(self, record, model, load_s, now):
        """Record that a load was ordered.

        Parameters
        ----------
        record : EndpointRecord
            The engine.
        model : str or None
            The model; None if the engine loads another one than it was told to.
        load_s : float
            Time of a load, in seconds.
        now : float
            Monotonic seconds.
        """
        until = now + LONGEST_FACTOR * load_s
        self._loads[record.endpoint_id] = _Load(model, record.born_ms, until)

    def cancel(self, endpoint_id):
        """Forget a load that was not begun."""
        self._loads.pop(endpoint_id, None)

    def settle(self, records, now):
        """Forget the loads that have ended.

        Parameters
        ----------
        records : dict of str to EndpointRecord
            Registered endpoints.
        now : float
            Monotonic seconds.
        """
        for endpoint_id, load in list(self._loads.items()):
            record = records.get(endpoint_id)
            if record is None or record.born_ms != load.born_ms or now >= load.until:
                del self._loads[endpoint_id]
                continue
            if load.model in record.staged_models or load.model in record.models:
                del self._loads[endpoint_id]


def may_begin(loads_at_once, under_way, *, is_background):
    """Return whether another load may begin while callers are served.

    Parameters
    ----------
    loads_at_once : float
        Loads that the weight store serves at full speed, for the whole fleet.
    under_way : int
        Loads under way in the whole fleet.
    is_background : bool
        Whether the engine can serve some model already.
    """
    limit = loads_at_once * BACKGROUND_PART if is_background else loads_at_once
    return under_way < max(1.0, limit)
