"""Builds the timeline of one request from the log lines of several nodes."""

import dataclasses
import json

from lynxlanding.dispatch import dispatch_decision

MESSAGE_TYPE_PREFIX = "lynxlanding:"
# Lines about endpoints, groups and the store are context of a request only if they are no older
# than this before its first line.
CONTEXT_WINDOW_S = 15.0

COLD_CHANGED = "endpoint:cold_changed"

_CONTEXT_EVENTS = frozenset(
    {
        "endpoint:changed",
        "endpoint:ignored",
        "endpoint:checked",
        "endpoint:ended",
        "endpoint:allowance_changed",
        "endpoint:limit_changed",
        COLD_CHANGED,
        "endpoint:leaving_stated",
        "endpoint:rejected",
        "endpoint:statement_malformed",
        "engine:silent",
        "engine:answers_again",
        "domain:plan_stored",
        "domain:plan_not_stored",
        "order:sent",
        "evacuation:began",
        "evacuation:ended",
        "evacuation:data_centre_unknown",
        "evacuation:entry_skipped",
        "store:lost",
        "store:regained",
        "store:history_expired",
        "feed:followed",
        "feed:lost",
        "configuration:in_force",
        "endpoints:unreachable",
        "endpoints:reachable",
        "prompt:quarantine_begun",
        "prompt:quarantine_ended",
        "node:started",
        "node:stopping",
    }
)
_METADATA_FIELDS = frozenset(
    {"timestamp", "task_uuid", "task_level", "message_type", "node", "request_id"}
)


@dataclasses.dataclass(slots=True, frozen=True)
class LogLine:
    """A parsed log line.

    Parameters
    ----------
    timestamp : float
        Unix time in seconds by the clock of the node.
    node : str
        Node that wrote the line.
    event : str
        Message type without the common prefix.
    fields : dict
        Remaining fields of the log line.
    """

    timestamp: float
    node: str
    event: str
    fields: dict

    def format_fields(self):
        """Return the non-empty fields as ``name=value`` pairs."""
        parts = []
        for name, value in self.fields.items():
            if value not in (None, [], {}):
                parts.append(f"{name}={value}")
        return " ".join(parts)


def parse(lines):
    """Return the ``LogLine`` objects of log lines.

    Text before the JSON document of a line and lines without a message type are skipped.
    """
    parsed = []
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            document = json.loads(line[start:])
        except ValueError:
            continue
        if not isinstance(document, dict) or "message_type" not in document:
            continue
        fields = {name: value for name, value in document.items() if name not in _METADATA_FIELDS}
        if "request_id" in document:
            fields["request_id"] = document["request_id"]
        parsed.append(
            LogLine(
                float(document.get("timestamp", 0.0)),
                str(document.get("node", "?")),
                str(document["message_type"]).removeprefix(MESSAGE_TYPE_PREFIX),
                fields,
            )
        )
    return parsed


def build_timeline(lines, request_id):
    """Return the lines of a request and the lines that may explain them, ordered by time.

    Parameters
    ----------
    lines : list of LogLine
        Log lines of any number of nodes.
    request_id : str
        Identifier of the request.
    """
    request_lines = [line for line in lines if line.fields.get("request_id") == request_id]
    if not request_lines:
        return []
    first_timestamp = min(line.timestamp for line in request_lines)
    last_timestamp = max(line.timestamp for line in request_lines)
    nodes = {line.node for line in request_lines}
    endpoints = set()
    groups = set()
    models = set()
    parts = set()
    for line in request_lines:
        endpoints.add(line.fields.get("endpoint"))
        groups.add(line.fields.get("group"))
        models.add(line.fields.get("model"))
        if line.event.startswith("request:"):
            parts.update(_find_crash_keys(line))
    resource_names = {name for name in endpoints | groups if name}
    if _is_refused_at_cold_endpoints(request_lines):
        # The refusal names no endpoint, since it is about all of them.
        for line in lines:
            if line.event == COLD_CHANGED and line.node in nodes:
                resource_names.add(line.fields.get("endpoint"))
    timeline = list(request_lines)
    timeline.extend(_find_evacuations(lines, nodes, first_timestamp - CONTEXT_WINDOW_S))
    for line in lines:
        if line.event not in _CONTEXT_EVENTS:
            continue
        if not first_timestamp - CONTEXT_WINDOW_S <= line.timestamp <= last_timestamp + 1.0:
            continue
        is_related = _is_related(line, nodes, resource_names, {model for model in models if model})
        if is_related or _has_parts(line, parts):
            timeline.append(line)
    timeline.sort(key=lambda line: line.timestamp)
    return timeline


def _is_refused_at_cold_endpoints(request_lines):
    for line in request_lines:
        if line.fields.get("reason") == dispatch_decision.ALL_LIMITED_SOME_COLD:
            return True
    return False


def _find_evacuations(lines, nodes, before):
    """Return the lines of the evacuations that nodes knew of at a time, however old they are."""
    latest = {}
    for line in sorted(lines, key=lambda line: line.timestamp):
        if line.timestamp >= before or line.node not in nodes:
            continue
        if line.event in ("evacuation:began", "evacuation:ended"):
            latest[line.node, line.fields.get("data_centre")] = line
        elif line.event == "node:started":
            # The process before it has ended with what it knew.
            latest = {key: value for key, value in latest.items() if key[0] != line.node}
    return [line for line in latest.values() if line.event == "evacuation:began"]


def _has_parts(line, parts):
    """Return whether a line is about the request or its parts; any node may have seen it."""
    if line.event.startswith("prompt:"):
        return parts.issuperset(_find_crash_keys(line) or ("",))
    return line.event == "endpoint:ended" and not parts.isdisjoint(_find_crash_keys(line))


def _find_crash_keys(line):
    """Return the parts of prompts and the digests of requests that a line names."""
    keys = [*(line.fields.get("prompt_parts") or ())]
    for digest in line.fields.get("request_digests") or ():
        keys.append(f"request {digest}")
    if line.fields.get("request_digest"):
        keys.append(f"request {line.fields['request_digest']}")
    return keys


def _is_related(line, nodes, resource_names, models):
    if line.event.startswith(
        ("endpoints:", "store:", "feed:", "node:", "configuration:", "evacuation:")
    ):
        return line.node in nodes
    if line.event.startswith("endpoint:"):
        return line.node in nodes and line.fields.get("endpoint") in resource_names
    if line.event.startswith("engine:") or line.event == "order:sent":
        return (
            line.fields.get("endpoint") in resource_names
            or line.fields.get("group") in resource_names
        )
    # The reasons of a domain's plan mention the groups that were tried, or the model for which no
    # group was available.
    reasons = " ".join(str(reason) for reason in line.fields.get("reasons") or [])
    return any(name in reasons for name in resource_names | models)


def summarize_outcome(timeline, request_id):
    """Return a one-line summary of the outcome of a request and its most recent cause."""
    finished = None
    cause = None
    for line in timeline:
        if line.fields.get("request_id") != request_id:
            continue
        if line.event == "request:finished":
            finished = line.fields
        elif line.event == "request:refused":
            cause = f"refused: {line.fields.get('reason')}"
        elif line.event == "request:quarantined":
            cause = f"refused: engines crashed under {_find_crash_keys(line)}"
        elif line.event == "request:attempt_failed":
            cause = f"{line.fields.get('endpoint')}: {line.fields.get('detail')}"
    if finished is None:
        return f"no end of request {request_id} was logged; last cause: {cause or 'none logged'}"
    outcome = f"{finished.get('result')} with status {finished.get('status')}"
    if finished.get("first_event_s") is not None:
        outcome += f", first event after {finished['first_event_s']} s"
    outcome += f", {finished.get('duration_s')} s in all"
    return f"{outcome}; cause: {cause or finished.get('detail') or 'none logged'}"
