"""Factory of request summaries for tests."""

from lynxlanding.observability import request_summary


def make(result, status=200, service="desk", **fields):
    values = {
        "error_type": "",
        "executed": "",
        "duration_s": 1.0,
        "first_token_s": 0.1,
        "tokens": 11,
        "slow_gaps": 2,
        "is_stream": True,
        **fields,
    }
    return request_summary.RequestSummary(
        request_id="r", workspace="w", service=service, result=result, status=status, **values
    )
