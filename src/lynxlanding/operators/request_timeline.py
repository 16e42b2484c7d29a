"""Builds the timeline of one request from the log lines of several nodes."""

import dataclasses
import json

MESSAGE_TYPE_PREFIX = "lynxlanding:"
# Events of endpoints, groups and the store are context of a request only if they are no older
# than this before its first event.
CONTEXT_WINDOW_S = 15.0

_CONTEXT_EVENT_TYPES = frozenset(
    {
        "endpoint:changed",
        "engine:silent",
        "engine:answers_again",
        "domain:plan_stored",
        "domain:plan_not_stored",
        "order:sent",
        "store:lost",
        "store:regained",
        "configuration:in_force",
        "node:started",
        "node:stopping",
    }
)
_METADATA_FIELDS = frozenset(
    {"timestamp", "task_uuid", "task_level", "message_type", "node", "request_id"}
)


@dataclasses.dataclass(slots=True, frozen=True)
class LogEvent:
    """An event parsed from a log line.

    Parameters
    ----------
    timestamp : float
        Unix time in seconds by the clock of the node.
    node : str
        Node that logged the event.
    event_type : str
        Message type without its common prefix.
    fields : dict
        Remaining fields of the log line.
    """

    timestamp: float
    node: str
    event_type: str
    fields: dict

    def format_fields(self):
        """Return the non-empty fields as ``name=value`` pairs."""
        parts = []
        for name, value in self.fields.items():
            if value not in (None, [], {}):
                parts.append(f"{name}={value}")
        return " ".join(parts)


def parse(lines):
    """Return the ``LogEvent`` objects of log lines.

    Text before the JSON document of a line and lines without an event are skipped.
    """
    events = []
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            record = json.loads(line[start:])
        except ValueError:
            continue
        if not isinstance(record, dict) or "message_type" not in record:
            continue
        fields = {name: value for name, value in record.items() if name not in _METADATA_FIELDS}
        if "request_id" in record:
            fields["request_id"] = record["request_id"]
        events.append(
            LogEvent(
                float(record.get("timestamp", 0.0)),
                str(record.get("node", "?")),
                str(record["message_type"]).removeprefix(MESSAGE_TYPE_PREFIX),
                fields,
            )
        )
    return events


def build_timeline(events, request_id):
    """Return the events of a request and the events that may explain them, ordered by time.

    Parameters
    ----------
    events : list of LogEvent
        Events of any number of nodes.
    request_id : str
        Identifier of the request.
    """
    request_events = [event for event in events if event.fields.get("request_id") == request_id]
    if not request_events:
        return []
    first_timestamp = min(event.timestamp for event in request_events)
    last_timestamp = max(event.timestamp for event in request_events)
    nodes = {event.node for event in request_events}
    endpoints = set()
    groups = set()
    models = set()
    for event in request_events:
        endpoints.add(event.fields.get("endpoint"))
        groups.add(event.fields.get("group"))
        models.add(event.fields.get("model"))
    resource_names = {name for name in endpoints | groups if name}
    timeline = list(request_events)
    for event in events:
        if event.event_type not in _CONTEXT_EVENT_TYPES:
            continue
        if not first_timestamp - CONTEXT_WINDOW_S <= event.timestamp <= last_timestamp + 1.0:
            continue
        if _is_related(event, nodes, resource_names, {model for model in models if model}):
            timeline.append(event)
    timeline.sort(key=lambda event: event.timestamp)
    return timeline


def _is_related(event, nodes, resource_names, models):
    if event.event_type.startswith(("store:", "node:", "configuration:")):
        return event.node in nodes
    if event.event_type == "endpoint:changed":
        return event.node in nodes and event.fields.get("endpoint") in resource_names
    if event.event_type.startswith("engine:") or event.event_type == "order:sent":
        return (
            event.fields.get("endpoint") in resource_names
            or event.fields.get("group") in resource_names
        )
    # The reasons of a domain's plan mention the groups that were tried, or the model for which no
    # group was available.
    reasons = " ".join(str(reason) for reason in event.fields.get("reasons") or [])
    return any(name in reasons for name in resource_names | models)


def summarize_outcome(timeline, request_id):
    """Return a one-line summary of the outcome of a request and its most recent cause."""
    finished = None
    cause = None
    for event in timeline:
        if event.fields.get("request_id") != request_id:
            continue
        if event.event_type == "request:finished":
            finished = event.fields
        elif event.event_type == "request:refused":
            cause = f"refused: {event.fields.get('reason')}"
        elif event.event_type == "request:attempt_failed":
            cause = f"{event.fields.get('endpoint')}: {event.fields.get('detail')}"
    if finished is None:
        return f"no end of request {request_id} was logged; last cause: {cause or 'none logged'}"
    outcome = f"{finished.get('result')} with status {finished.get('status')}"
    if finished.get("first_event_s") is not None:
        outcome += f", first event after {finished['first_event_s']} s"
    outcome += f", {finished.get('duration_s')} s in all"
    return f"{outcome}; cause: {cause or finished.get('detail') or 'none logged'}"
