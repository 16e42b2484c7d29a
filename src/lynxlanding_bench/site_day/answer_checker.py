"""Checks what callers got against what endpoints did: whole answers, unsafe requests once."""

import collections

from lynxlanding_bench.site_day import day_record

# Statuses that promise that the request has not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


def find_repeated_runs(record):
    """Return the ids of unsafe requests that ran more than once."""
    counts = collections.Counter(event.request_id for event in record.runs())
    return [
        response.request_id
        for response in record.responses
        if response.kind == day_record.UNSAFE and counts[response.request_id] > 1
    ]


def find_false_refusals(record):
    """Return the ids of unsafe requests that were refused although they ran."""
    ran = {event.request_id for event in record.runs()}
    return [
        response.request_id
        for response in record.responses
        if response.kind == day_record.UNSAFE
        and response.status in NOT_RUN_STATUSES
        and response.request_id in ran
    ]


def find_false_successes(record):
    """Return the ids of requests answered with 200 whose body or seal was not whole."""
    return [
        response.request_id
        for response in record.responses
        if response.status == 200 and not response.is_whole
    ]
