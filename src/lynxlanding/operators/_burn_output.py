"""Burn report as a table and as a plot."""

import time

from lynxlanding.operators import formatting


def format_burn(document):
    """Return the burn report as text.

    Parameters
    ----------
    document : dict
        Answer of ``/admin/v1/burn``.
    """
    windows = document["windows_s"]
    columns = ["objective", "scope", "name", "target", "good", "bad", "budget left"]
    columns.extend(f"burn {_duration(window)}" for window in windows)
    columns.append("alert")
    rows = []
    for row in document["rows"]:
        values = [row["objective"], row["scope"], row["name"], row["target"]]
        values.extend([row["good"], row["bad"], row["budget_left"]])
        values.extend(row["burn"][str(window)] for window in windows)
        values.append(row["alert"] or None)
        rows.append(values)
    lines = [formatting.format_table(columns, rows)]
    for node in document["nodes"]:
        if node["is_late"]:
            lines.append(
                f"counts of {node['node']} end {_duration(node['age_s'])} ago; later events of"
                " this node are missing"
            )
    moment = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(document["generated_at"]))
    lines.append(f"(at {moment}, budget period {_duration(document['period_s'])})")
    return "\n".join(lines)


def write_plot(document, path):
    """Write the burn of each objective over the windows as a plot.

    Raises
    ------
    ImportError
        If matplotlib is not installed.
    """
    import matplotlib  # noqa: PLC0415

    matplotlib.use("Agg")
    from matplotlib import pyplot  # noqa: PLC0415

    windows = document["windows_s"]
    rows = document["rows"]
    figure, axes = pyplot.subplots(figsize=(10, 1.5 + 0.35 * max(1, len(rows))))
    height = 0.8 / max(1, len(windows))
    for index, window in enumerate(windows):
        positions = [row + index * height for row in range(len(rows))]
        burns = [row["burn"][str(window)] or 0.0 for row in rows]
        axes.barh(positions, burns, height=height, label=_duration(window))
    labels = [f"{row['objective']} / {row['scope']} {row['name']}" for row in rows]
    axes.set_yticks([row + 0.4 for row in range(len(rows))], labels)
    axes.axvline(1.0, color="black", linewidth=0.8)
    axes.set_xlabel("burn rate (1 uses up the budget exactly in the period)")
    axes.legend(title="window")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _duration(seconds):
    for unit, size in (("d", 86400), ("h", 3600), ("min", 60)):
        if seconds >= size:
            return f"{seconds / size:.3g} {unit}"
    return f"{seconds:.3g} s"
