"""Formats the burn-rate report of the service-level objectives as a table or a plot."""

import time

from lynxlanding.operators import formatting


def format_burn_report(report):
    """Return the burn-rate report as a text table.

    Parameters
    ----------
    report : dict
        Response body of ``GET /admin/v1/burn``.
    """
    windows = report["windows_s"]
    columns = ["objective", "scope", "name", "target", "good", "bad", "budget left"]
    columns.extend(f"burn {_format_duration(window)}" for window in windows)
    columns.append("alert")
    rows = []
    for row in report["rows"]:
        values = [row["objective"], row["scope"], row["name"], row["target"]]
        values.extend([row["good"], row["bad"], row["budget_left"]])
        values.extend(row["burn"][str(window)] for window in windows)
        values.append(row["alert"] or None)
        rows.append(values)
    lines = [formatting.format_table(columns, rows)]
    for node in report["nodes"]:
        if node["is_late"]:
            lines.append(
                f"counts of {node['node']} end {_format_duration(node['age_s'])} ago; later"
                " events of this node are missing"
            )
    generated_at = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(report["generated_at"]))
    lines.append(f"(at {generated_at}, budget period {_format_duration(report['period_s'])})")
    return "\n".join(lines)


def write_plot(report, path):
    """Write a bar chart of the burn rates of each objective, one bar per window.

    Raises
    ------
    ImportError
        If matplotlib is not installed.
    """
    import matplotlib  # noqa: PLC0415

    matplotlib.use("Agg")
    from matplotlib import pyplot  # noqa: PLC0415

    windows = report["windows_s"]
    rows = report["rows"]
    figure, axes = pyplot.subplots(figsize=(10, 1.5 + 0.35 * max(1, len(rows))))
    bar_height = 0.8 / max(1, len(windows))
    for index, window in enumerate(windows):
        positions = [row + index * bar_height for row in range(len(rows))]
        burn_rates = [row["burn"][str(window)] or 0.0 for row in rows]
        axes.barh(positions, burn_rates, height=bar_height, label=_format_duration(window))
    labels = [f"{row['objective']} / {row['scope']} {row['name']}" for row in rows]
    axes.set_yticks([row + 0.4 for row in range(len(rows))], labels)
    axes.axvline(1.0, color="black", linewidth=0.8)
    axes.set_xlabel("burn rate (1 uses up the budget exactly in the period)")
    axes.legend(title="window")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _format_duration(seconds):
    for unit, unit_s in (("d", 86400), ("h", 3600), ("min", 60)):
        if seconds >= unit_s:
            return f"{seconds / unit_s:.3g} {unit}"
    return f"{seconds:.3g} s"
