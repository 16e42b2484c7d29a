"""Validation of dates and wind-down schedules."""

from lynxlanding.errors import configuration as configuration_errors


def check(objects, changed, now, problems):
    """Append the problems of dates and wind-downs; dates are checked on changed objects only."""
    for name, workspace in sorted(objects.get("workspaces", {}).items()):
        path = f"workspaces/{name}"
        if path in changed and workspace.until is not None:
            _check_date(f"{path}.until", workspace.until, now, problems)
    winddown_by_model = {}
    for name, winddown in sorted(objects.get("winddowns", {}).items()):
        path = f"winddowns/{name}"
        other = winddown_by_model.setdefault(winddown.model, name)
        if other != name:
            problems.append(
                configuration_errors.InvalidObject(
                    f"{path}.model", f"winddowns/{other} already winds down {winddown.model}"
                )
            )
        if path in changed:
            _check_winddown(path, winddown, now, problems)


def _check_winddown(path, winddown, now, problems):
    if not _check_date(f"{path}.date", winddown.date, now, problems):
        return
    previous = None
    for index, step in enumerate(winddown.steps):
        step_path = f"{path}.steps.{index}"
        if not _check_date(f"{step_path}.at", step.at, now, problems):
            continue
        if step.at > winddown.date:
            problems.append(
                configuration_errors.InvalidObject(
                    f"{step_path}.at", f"is after the shutdown date {winddown.date.isoformat()}"
                )
            )
        if previous is not None and step.at <= previous.at:
            problems.append(
                configuration_errors.InvalidObject(
                    f"{step_path}.at", "is not after the preceding step"
                )
            )
        if previous is not None and step.replicas > previous.replicas:
            problems.append(
                configuration_errors.InvalidObject(
                    f"{step_path}.replicas", "exceeds the replicas of the preceding step"
                )
            )
        previous = step


def _check_date(path, time, now, problems):
    if time.tzinfo is None:
        problems.append(configuration_errors.InvalidObject(path, "requires a time zone"))
        return False
    if time <= now:
        problems.append(
            configuration_errors.InvalidObject(path, f"{time.isoformat()} is in the past")
        )
    return True
