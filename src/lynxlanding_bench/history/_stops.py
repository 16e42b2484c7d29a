"""Checks of planned stops and leaving endpoints (G6, G7)."""

from lynxlanding_bench.history import violation


def check_planned_stops(history):
    """Find calls that a planned stop cut off.

    A call is cut if it was in flight when the stop began and broke. A call whose node or endpoint
    also suffered an unplanned fault while the call ran is not counted.
    """
    stops = history.of_event("planned_stop")
    faults = history.of_event("fault", "recovered")
    endpoints = {}
    for record in history.work():
        endpoints.setdefault(record["request_id"], []).append(record.get("endpoint"))
    found = []
    for call, answer in history.answers_by_call():
        if answer is None or answer["result"] != "broken":
            continue
        targets = [call.get("node"), *endpoints.get(answer.get("request_id"), [])]
        for stop in stops:
            if stop["target"] not in targets:
                continue
            if not call["time"] <= stop["time"] <= answer["time"]:
                continue
            if _has_fault(faults, targets, call["time"], answer["time"]):
                continue
            text = f"broke {answer['time'] - stop['time']:.2f} s into the stop of {stop['target']}"
            found.append(violation.Violation(violation.CUT_IN_PLANNED_STOP, call["id"], text))
    return found


def check_leaving_endpoints(history, default_bound_s):
    """Find new work on an endpoint longer than the bound after it began to leave.

    Parameters
    ----------
    history : History
        The history.
    default_bound_s : float
        Bound of records without ``bound_s``.
    """
    leaving = {}
    found = []
    for record in history.of_event("leaving", "staying", "generate", "run"):
        endpoint = record.get("endpoint")
        if record["event"] == "leaving":
            leaving.setdefault(endpoint, record)
            continue
        if record["event"] == "staying":
            leaving.pop(endpoint, None)
            continue
        start = leaving.get(endpoint)
        if start is None:
            continue
        late_s = record.get("arrived", record["time"]) - start["time"]
        if late_s > start.get("bound_s", default_bound_s):
            text = f"{endpoint} began {record['request_id']} {late_s:.2f} s after it began to leave"
            found.append(
                violation.Violation(violation.WORK_ON_LEAVING_ENDPOINT, record["request_id"], text)
            )
    return found


def _has_fault(changes, targets, since, until):
    """Return whether an unplanned fault of a target was in effect between two moments."""
    in_effect = set()
    for change in changes:
        if change["target"] not in targets or change["time"] > until:
            continue
        if change["event"] == "fault":
            in_effect.add(change["target"])
        elif change["time"] < since:
            in_effect.discard(change["target"])
    return bool(in_effect)
