"""Orders the log lines of many nodes into the story of one request."""

import dataclasses
import json

PREFIX = "lynxlanding:"
# Context lines of endpoints, groups and the store that are older than this are left out.
CONTEXT_S = 15.0

_CONTEXT_TYPES = frozenset(
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
_HIDDEN = frozenset({"timestamp", "task_uuid", "task_level", "message_type", "node", "request_id"})


@dataclasses.dataclass(slots=True, frozen=True)
class StoryLine:
    """One line of a story.

    Parameters
    ----------
    at : float
        Time of day by the clock of the node, Unix seconds.
    node : str
        Node that wrote the line.
    event : str
        Type of the line.
    fields : dict
        What the line says.
    """

    at: float
    node: str
    event: str
    fields: dict

    def describe(self):
        """Return the fields as text."""
        parts = []
        for name, value in self.fields.items():
            if value not in (None, [], {}):
                parts.append(f"{name}={value}")
        return " ".join(parts)


def parse(lines):
    """Return the ``StoryLine`` objects of log lines; text around the JSON is skipped."""
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
        fields = {name: value for name, value in document.items() if name not in _HIDDEN}
        if "request_id" in document:
            fields["request_id"] = document["request_id"]
        parsed.append(
            StoryLine(
                float(document.get("timestamp", 0.0)),
                str(document.get("node", "?")),
                str(document["message_type"]).removeprefix(PREFIX),
                fields,
            )
        )
    return parsed


def tell(lines, request_id):
    """Return the lines about a request and what led to them, in order.

    Parameters
    ----------
    lines : list of StoryLine
        Lines of any number of nodes.
    request_id : str
        Identity of the request.
    """
    own = [line for line in lines if line.fields.get("request_id") == request_id]
    if not own:
        return []
    first_at = min(line.at for line in own)
    last_at = max(line.at for line in own)
    nodes = {line.node for line in own}
    endpoints = set()
    groups = set()
    models = set()
    for line in own:
        endpoints.add(line.fields.get("endpoint"))
        groups.add(line.fields.get("group"))
        models.add(line.fields.get("model"))
    names = {name for name in endpoints | groups if name}
    story = list(own)
    for line in lines:
        if line.event not in _CONTEXT_TYPES:
            continue
        if not first_at - CONTEXT_S <= line.at <= last_at + 1.0:
            continue
        if _concerns(line, nodes, names, {model for model in models if model}):
            story.append(line)
    story.sort(key=lambda line: line.at)
    return story


def _concerns(line, nodes, names, models):
    if line.event.startswith(("store:", "node:", "configuration:")):
        return line.node in nodes
    if line.event == "endpoint:changed":
        return line.node in nodes and line.fields.get("endpoint") in names
    if line.event.startswith("engine:") or line.event == "order:sent":
        return line.fields.get("endpoint") in names or line.fields.get("group") in names
    # What a domain's plan says of the groups that were tried, or of the model that had none.
    reasons = " ".join(str(reason) for reason in line.fields.get("reasons") or [])
    return any(name in reasons for name in names | models)


def conclude(story, request_id):
    """Return one sentence about the outcome of the request and its nearest cause."""
    finished = None
    cause = None
    for line in story:
        if line.fields.get("request_id") != request_id:
            continue
        if line.event == "request:finished":
            finished = line.fields
        elif line.event == "request:refused":
            cause = f"refused: {line.fields.get('reason')}"
        elif line.event == "request:attempt_failed":
            cause = f"{line.fields.get('endpoint')}: {line.fields.get('detail')}"
    if finished is None:
        return f"no end of request {request_id} was logged; last cause: {cause or 'none logged'}"
    outcome = f"{finished.get('result')} with status {finished.get('status')}"
    if finished.get("first_event_s") is not None:
        outcome += f", first event after {finished['first_event_s']} s"
    outcome += f", {finished.get('duration_s')} s in all"
    return f"{outcome}; cause: {cause or finished.get('detail') or 'none logged'}"
