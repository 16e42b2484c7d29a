"""Endpoints that have said in responses that they are leaving."""

import dataclasses

from lynxlanding.dispatch import report_turns

# A leaving is part of every report for this long, so that lost reports do no harm. After that,
# leavings take turns, for nodes that have started since.
FRESH_S = 3.0


@dataclasses.dataclass(slots=True, frozen=True)
class LeavingStatement:
    """Statement of one incarnation of an endpoint that it is leaving.

    Parameters
    ----------
    endpoint_id : str
        Endpoint that is leaving.
    started_ms : int
        Start of the incarnation, in Unix milliseconds of its own clock.
    stated_at : float
        When the response that states it arrived, monotonic seconds.
    """

    endpoint_id: str
    started_ms: int
    stated_at: float


class StatedLeavings:
    """What this node and its peers have heard; performs no I/O.

    The registry decides which endpoints are leaving; this tells what is news for it and for the
    peers. Threads use it directly: each call is one step that cannot be interrupted.
    """

    def __init__(self):
        # Both by endpoint id. Only what this node itself has heard is reported.
        self._own = {}
        self._peer = {}
        self._report_turns = report_turns.ReportTurns()
        self._changes = 0

    @property
    def changes(self):
        """Number of changes that peers should hear of at once."""
        return self._changes

    def record_response(self, record, now):
        """Record a response that states the leaving; return whether it is news."""
        if _has(self._own, record.endpoint_id, record.started_ms):
            return False
        self._own[record.endpoint_id] = LeavingStatement(record.endpoint_id, record.started_ms, now)
        self._changes += 1
        return not _has(self._peer, record.endpoint_id, record.started_ms)

    def record_peer(self, statement):
        """Record what an endpoint has stated to a peer; return whether it is news."""
        endpoint_id, started_ms = statement.endpoint_id, statement.started_ms
        if _has(self._peer, endpoint_id, started_ms):
            return False
        self._peer[endpoint_id] = statement
        return not _has(self._own, endpoint_id, started_ms)

    def statements_to_report(self, now):
        """Return the ``LeavingStatement``s of the next report."""
        fresh = []
        old = []
        for statement in list(self._own.values()):
            is_fresh = now - statement.stated_at <= FRESH_S
            (fresh if is_fresh else old).append(statement)
        return self._report_turns.select(fresh, old)

    def expire(self, records):
        """Drop statements of incarnations that are gone.

        Parameters
        ----------
        records : dict of str to EndpointRecord
            Registered endpoints by id.
        """
        for statements in (self._own, self._peer):
            for endpoint_id, statement in list(statements.items()):
                record = records.get(endpoint_id)
                if record is None or record.started_ms != statement.started_ms:
                    statements.pop(endpoint_id, None)


def _has(statements, endpoint_id, started_ms):
    known = statements.get(endpoint_id)
    return known is not None and known.started_ms == started_ms
