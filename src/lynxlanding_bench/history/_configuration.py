"""Checks of accepted configuration (G8)."""

from lynxlanding_bench.history import violation


def check_revisions(history):
    """Find nodes that moved to a lower revision, also over a restart."""
    highest = {}
    found = []
    for record in history.of_event("revision"):
        node = record["node"]
        before = highest.get(node, 0)
        if record["revision"] < before:
            text = f"went from revision {before} to {record['revision']}"
            found.append(violation.Violation(violation.REVERTED_CONFIGURATION, node, text))
        highest[node] = max(before, record["revision"])
    return found


def check_accepted_changes(history):
    """Find accepted changes that are missing from the final history, moved, or in it twice."""
    finals = history.of_event("accepted_history")
    if not finals:
        return []
    revisions = {}
    found = []
    for revision, change_id in finals[-1]["changes"]:
        if change_id in revisions:
            text = f"is accepted as revisions {revisions[change_id]} and {revision}"
            found.append(violation.Violation(violation.DUPLICATE_CHANGE, change_id, text))
        revisions[change_id] = revision
    for record in history.of_event("accepted"):
        change_id = record["change_id"]
        final = revisions.get(change_id)
        if final is None:
            text = f"was accepted as revision {record['revision']} and is not in the history"
            found.append(violation.Violation(violation.LOST_CHANGE, change_id, text))
        elif final != record["revision"]:
            text = f"was accepted as revision {record['revision']}, the history says {final}"
            found.append(violation.Violation(violation.REVERTED_CONFIGURATION, change_id, text))
    return found
