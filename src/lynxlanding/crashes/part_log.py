"""Log lines about requests and parts of prompts that end endpoints."""

import eliot

from lynxlanding.crashes import request_digest

QUARANTINE_BEGUN = "lynxlanding:prompt:quarantine_begun"
QUARANTINE_ENDED = "lynxlanding:prompt:quarantine_ended"


def format_parts(parts):
    """Return the keys of parts of a prompt as callers write them."""
    return [f"{part:x}" for part in parts]


def format_requests(keys):
    """Return the digests in keys of requests."""
    return [f"{request_digest.to_digest(key):016x}" for key in keys]


def log_quarantine_change(change, now):
    """Log a ``QuarantineChange``."""
    statement = change.statement
    parts, requests = request_digest.split(sorted(statement.parts))
    eliot.log_message(
        message_type=QUARANTINE_BEGUN if change.ended_because is None else QUARANTINE_ENDED,
        prompt_parts=format_parts(parts),
        request_digests=format_requests(requests),
        source=change.source,
        reason=change.ended_because,
        named_age_s=round(now - statement.named_at, 3),
        last_end_age_s=round(now - statement.last_end_at, 3),
        last_request_age_s=round(now - statement.last_seen_at, 3),
        trials=statement.trials,
    )
