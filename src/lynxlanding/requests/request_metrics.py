"""Metrics of requests, attempts and claims."""

from opentelemetry import metrics

_meter = metrics.get_meter("lynxlanding.requests")

CLAIMS = _meter.create_counter(
    "lynxlanding.claims",
    description="Keyed requests by result: claimed, replayed or the type of the refusal.",
)
UNWRITTEN_OUTCOMES = _meter.create_up_down_counter(
    "lynxlanding.claims.unwritten", description="Outcomes that the store does not hold yet."
)
ATTEMPTS = _meter.create_counter(
    "lynxlanding.attempts", description="Attempts by result: ok or the type of the failure."
)
RETRIES = _meter.create_counter(
    "lynxlanding.retries",
    description="Retries by kind (retry, resume) and answer (granted or the reason against it).",
)
DROPPED_RESPONSES = _meter.create_counter(
    "lynxlanding.dropped_responses",
    description="Responses that carried the identity of another request or attempt.",
)
DUPLICATE_EVENTS = _meter.create_counter(
    "lynxlanding.duplicate_events", description="Events dropped because they were forwarded before."
)
REFUSALS = _meter.create_counter(
    "lynxlanding.request_refusals", description="Requests given up, by type and executed."
)
