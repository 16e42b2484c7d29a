"""Report and plot of a day."""

import collections
import json

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

from lynxlanding_bench.site_day import rules  # noqa: E402

# Length of the windows of which the worst are reported, in seconds.
WINDOW_S = 5.0


def summarize(record, refusal_reasons):
    """Return the report of a ``DayRecord`` as a JSON-compatible dict.

    Prompts that crash engines count for the rules only.

    Parameters
    ----------
    record : DayRecord
        The day.
    refusal_reasons : dict of str to int
        Refusals by reason, from the nodes' logs.
    """
    served = collections.Counter()
    sent = collections.Counter()
    sound = [response for response in record.responses if not response.has_bad_part]
    for response in sound:
        sent[response.kind] += 1
        served[response.kind] += response.is_whole
    share_by_kind = {kind: round(served[kind] / sent[kind], 4) for kind in sorted(sent)}
    return {
        "rules": rules.check(record),
        "requests": len(record.responses),
        "served": share_by_kind,
        "worst_windows": _worst_windows(record, sound),
        "not_served": [
            {
                "request_id": response.request_id,
                "status": response.status,
                "sent_s": round(response.sent_at - record.started_at, 2),
            }
            for response in sound
            if not response.is_whole
        ],
        "statuses": dict(collections.Counter(str(item.status) for item in record.responses)),
        "refusals": dict(refusal_reasons),
        "faults": [
            {
                "line": played.fault.line,
                "kind": played.fault.kind,
                "targets": list(played.fault.targets),
                "begun_s": round(played.begun_at - record.started_at, 2),
                "ended_s": round(played.ended_at - record.started_at, 2),
            }
            for played in record.faults
        ],
    }


def count_refusals(paths):
    """Return the refusals by reason in the log files of nodes."""
    counts = collections.Counter()
    for path in paths:
        for line in path.read_text(errors="replace").splitlines():
            if '"lynxlanding:request:refused"' in line:
                counts[json.loads(line)["reason"]] += 1
            elif '"lynxlanding:request:quarantined"' in line:
                counts["parts of the prompt have crashed engines"] += 1
    return counts


def _worst_windows(record, responses):
    """Return the three windows with the lowest share of requests served."""
    sent = collections.Counter()
    served = collections.Counter()
    for response in responses:
        window = int((response.sent_at - record.started_at) // WINDOW_S)
        sent[window] += 1
        served[window] += response.is_whole
    shares = sorted((served[window] / sent[window], window) for window in sent)
    return [
        {"from_s": window * WINDOW_S, "served": round(share, 4)} for share, window in shares[:3]
    ]


def plot(record, path):
    """Draw requests a second, served and not, with the times of the faults."""
    seconds = range(int(record.ended_at - record.started_at) + 1)
    served = collections.Counter()
    failed = collections.Counter()
    for response in record.responses:
        if response.has_bad_part:
            continue
        second = int(response.sent_at - record.started_at)
        (served if response.is_whole else failed)[second] += 1
    figure, (axes, fault_axes) = pyplot.subplots(2, 1, sharex=True, figsize=(10, 6))
    axes.stackplot(
        seconds,
        [served[second] for second in seconds],
        [failed[second] for second in seconds],
        labels=["served", "not served"],
        colors=["tab:blue", "tab:red"],
    )
    axes.set_ylabel("requests a second")
    axes.legend(loc="lower left")
    labels = []
    for row, played in enumerate(record.faults):
        begun_s = played.begun_at - record.started_at
        fault_axes.barh(row, max(0.2, played.ended_at - played.begun_at), left=begun_s)
        labels.append(f"{played.fault.kind} (line {played.fault.line})")
    fault_axes.set_yticks(range(len(labels)), labels)
    fault_axes.invert_yaxis()
    fault_axes.set_xlabel("seconds")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
