"""Endpoints that have rejected requests of this node for a stated time."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Rejection:
    """Statement of one incarnation of an endpoint that it wants no requests from this node.

    Parameters
    ----------
    endpoint_id : str
        Endpoint that has rejected a request.
    started_ms : int
        Start of the incarnation, in Unix milliseconds of its own clock.
    stated_at, until : float
        When the response arrived, and the end of the time that it states, monotonic seconds.
    """

    endpoint_id: str
    started_ms: int
    stated_at: float
    until: float


class RejectionTable:
    """Rejections in force; performs no I/O.

    They concern this node only, so peers are not told. Threads use the table directly: each call is
    one step that cannot be interrupted.
    """

    def __init__(self):
        # By endpoint id.
        self._rejections = {}

    @property
    def is_empty(self):
        """Whether no rejection is known."""
        return not self._rejections

    def record_response(self, record, retry_after_s, now):
        """Record a rejection.

        A shorter time does not end a longer one before: each response states the time that follows
        it.

        Parameters
        ----------
        record : EndpointRecord
            Incarnation that has rejected a request.
        retry_after_s : float
            Time for which it wants no requests, in seconds.
        now : float
            Monotonic seconds.

        Returns
        -------
        Rejection or None
            The rejection, if it changes for how long the endpoint is left alone.
        """
        known = self._rejections.get(record.endpoint_id)
        is_same = known is not None and known.started_ms == record.started_ms
        until = now + retry_after_s
        if until <= now or (is_same and until <= known.until):
            return None
        rejection = Rejection(record.endpoint_id, record.started_ms, now, until)
        self._rejections[record.endpoint_id] = rejection
        return rejection

    def remaining_s(self, record, now):
        """Return for how long an incarnation wants no requests, in seconds."""
        rejection = self._rejections.get(record.endpoint_id)
        if rejection is None or rejection.started_ms != record.started_ms:
            return 0.0
        return max(0.0, rejection.until - now)

    def keep_incarnation(self, record):
        """Discard what earlier incarnations of an endpoint have stated."""
        rejection = self._rejections.get(record.endpoint_id)
        if rejection is not None and rejection.started_ms != record.started_ms:
            self._rejections.pop(record.endpoint_id, None)

    def expire(self, now):
        """Drop the rejections whose time is over."""
        for endpoint_id, rejection in list(self._rejections.items()):
            if rejection.until <= now:
                self._rejections.pop(endpoint_id, None)
