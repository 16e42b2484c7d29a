"""Names of the objectives, and classification of requests as good or bad events."""

from lynxlanding.observability import request_summary

FIRST_TOKEN = "first_token"
TOKEN_INTERVAL = "token_interval"
WHOLE_ANSWER = "whole_answer"
GROUP_DOWNTIME = "group_downtime"
STRANDED = "stranded"

# Invalid requests, and load above the workspace's share, do not consume the error budget.
_CALLER_ERRORS = range(400, 500)


def classify_request(summary, settings):
    """Return the events of a finished request as (objective, good, bad).

    A caller that disconnects without a first token counts as bad if it waited longer than the
    first-token threshold. For other disconnects, only the token intervals are counted.

    Parameters
    ----------
    summary : RequestSummary
        Summary of the request.
    settings : ObjectivesSettings
        Thresholds.
    """
    if summary.result == request_summary.REFUSED and summary.status in _CALLER_ERRORS:
        return []
    threshold_s = settings.first_token.threshold_s
    if summary.result == request_summary.ABANDONED:
        exceeded_threshold = summary.first_token_s is None and summary.duration_s > threshold_s
        if not exceeded_threshold:
            return _classify_token_intervals(summary)
        events = [(WHOLE_ANSWER, 0, 1)]
        if summary.is_stream:
            events.append((FIRST_TOKEN, 0, 1))
        return events
    is_whole = summary.result == request_summary.WHOLE
    events = [(WHOLE_ANSWER, int(is_whole), int(not is_whole))]
    if summary.is_stream:
        in_time = summary.first_token_s is not None and summary.first_token_s <= threshold_s
        events.append((FIRST_TOKEN, int(in_time), int(not in_time)))
    return events + _classify_token_intervals(summary)


def _classify_token_intervals(summary):
    gaps = summary.tokens - 1
    if not summary.is_stream or gaps < 1:
        return []
    return [(TOKEN_INTERVAL, gaps - summary.slow_gaps, summary.slow_gaps)]
