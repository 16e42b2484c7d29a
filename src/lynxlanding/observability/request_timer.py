"""Measures one request while it is served."""

from lynxlanding.observability import request_summary

EVENT_TERMINATOR = b"\n\n"
DONE_EVENT = b"data: [DONE]\n\n"


class RequestTimer:
    """Collects the latency and token counts of a request; the caller supplies the time.

    Parameters
    ----------
    request_id : str
        Id of the request.
    now : float
        Time of arrival, in seconds of the monotonic clock.
    gap_threshold_s : float
        Gaps between chunks that are longer than this are slow.

    Attributes
    ----------
    is_finished : bool
        Whether ``finish`` was called.
    """

    __slots__ = (
        "_first_token_s",
        "_gap_threshold_s",
        "_is_stream",
        "_last_chunk_at",
        "_request_id",
        "_service",
        "_slow_gaps",
        "_arrived_at",
        "_status",
        "_tokens",
        "_workspace",
        "is_finished",
    )

    def __init__(self, request_id, now, gap_threshold_s):
        self._request_id = request_id
        self._arrived_at = now
        self._gap_threshold_s = gap_threshold_s
        self._workspace = ""
        self._service = ""
        self._is_stream = False
        self._status = 0
        self._first_token_s = None
        self._last_chunk_at = now
        self._tokens = 0
        self._slow_gaps = 0
        self.is_finished = False

    @property
    def tokens(self):
        """Number of tokens forwarded so far."""
        return self._tokens

    def on_request(self, workspace, service, is_stream):
        """Record the workspace and service of the request and whether it is a stream."""
        self._workspace = workspace
        self._service = service
        self._is_stream = is_stream

    def on_status(self, status):
        """Record the HTTP status."""
        self._status = status

    def on_chunk(self, chunk, now):
        """Count the events of one forwarded chunk.

        The events of a chunk arrive together, so a chunk adds at most one slow gap: the one before
        its first event.
        """
        if self._first_token_s is None:
            self._first_token_s = now - self._arrived_at
        elif now - self._last_chunk_at > self._gap_threshold_s:
            self._slow_gaps += 1
        self._last_chunk_at = now
        self._tokens += chunk.count(EVENT_TERMINATOR)
        if chunk.endswith(DONE_EVENT):
            self._tokens -= 1

    def finish(self, result, now, error_type="", executed=""):
        """Return the summary of the request.

        Parameters
        ----------
        result : str
            One of the result constants of ``request_summary``.
        now : float
            Time of the end, in seconds of the monotonic clock.
        error_type, executed : str, optional
            Error type and ``X-Executed`` value of a refused or failed request.
        """
        self.is_finished = True
        return request_summary.RequestSummary(
            self._request_id,
            self._workspace,
            self._service,
            result,
            self._status,
            error_type,
            executed,
            now - self._arrived_at,
            self._first_token_s,
            self._tokens,
            self._slow_gaps,
            self._is_stream,
        )
