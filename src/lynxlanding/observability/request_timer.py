"""Times one request while it is served."""

from lynxlanding.observability import request_summary

EVENT_END = b"\n\n"
LAST_EVENT = b"data: [DONE]\n\n"


class RequestTimer:
    """Collects the figures of a request; the caller reads the clock.

    Parameters
    ----------
    request_id : str
        Identity of the request.
    now : float
        Arrival, in seconds of the monotonic clock.
    gap_threshold_s : float
        Gaps between events above this are counted as slow.

    Attributes
    ----------
    is_finished : bool
        Whether the summary was made.
    """

    __slots__ = (
        "_first_token_s",
        "_gap_threshold_s",
        "_is_stream",
        "_last_at",
        "_request_id",
        "_service",
        "_slow_gaps",
        "_started_at",
        "_status",
        "_tokens",
        "_workspace",
        "is_finished",
    )

    def __init__(self, request_id, now, gap_threshold_s):
        self._request_id = request_id
        self._started_at = now
        self._gap_threshold_s = gap_threshold_s
        self._workspace = ""
        self._service = ""
        self._is_stream = False
        self._status = 0
        self._first_token_s = None
        self._last_at = now
        self._tokens = 0
        self._slow_gaps = 0
        self.is_finished = False

    @property
    def tokens(self):
        """Number of tokens that were forwarded."""
        return self._tokens

    def identify(self, workspace, service, is_stream):
        """Note for whom the request is."""
        self._workspace = workspace
        self._service = service
        self._is_stream = is_stream

    def on_status(self, status):
        """Note the HTTP status."""
        self._status = status

    def on_chunk(self, chunk, now):
        """Count the events of one forwarded chunk.

        Only the first event of a chunk had to be waited for, so a chunk adds at most one slow gap.
        """
        if self._first_token_s is None:
            self._first_token_s = now - self._started_at
        elif now - self._last_at > self._gap_threshold_s:
            self._slow_gaps += 1
        self._last_at = now
        self._tokens += chunk.count(EVENT_END)
        if chunk.endswith(LAST_EVENT):
            self._tokens -= 1

    def finish(self, result, now, error_type="", executed=""):
        """Return the summary of the request.

        Parameters
        ----------
        result : str
            One of the results of ``request_summary``.
        now : float
            End, in seconds of the monotonic clock.
        error_type, executed : str, optional
            Type and ``X-Executed`` of a refusal or failure.
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
            now - self._started_at,
            self._first_token_s,
            self._tokens,
            self._slow_gaps,
            self._is_stream,
        )
