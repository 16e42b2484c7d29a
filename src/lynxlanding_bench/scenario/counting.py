"""Counts that scenarios compare with their expectations."""


def count(history, load_name=None):
    """Return the metrics of a history, of one load or of all.

    Parameters
    ----------
    history : History
        The history.
    load_name : str, optional
        Name of the load that counts.
    """
    counts = dict.fromkeys(
        (
            "calls",
            "whole",
            "refused",
            "broken",
            "executed_no",
            "executed_unknown",
            "runs",
            "accepted_changes",
            "conflicts",
        ),
        0,
    )
    prefix = "" if load_name is None else f"{load_name}-"
    for call, answer in history.answers_by_call():
        if load_name is not None and call["load"] != load_name:
            continue
        counts["calls"] += 1
        if answer is None:
            continue
        counts[answer["result"]] += 1
        if answer["executed"] in ("no", "unknown"):
            counts[f"executed_{answer['executed']}"] += 1
    for record in history.of_event("run"):
        counts["runs"] += record["reference"].startswith(prefix)
    counts["accepted_changes"] = len(history.of_event("accepted"))
    counts["conflicts"] = len(history.of_event("change_conflict"))
    return counts
