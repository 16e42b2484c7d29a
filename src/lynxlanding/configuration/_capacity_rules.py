"""Validation against the existing VMs and the capacity owed to the workspaces."""

from lynxlanding.errors import configuration as configuration_errors


def check(objects, now, capacity, problems):
    """Append models that fit no fabric domain and owed capacity that the models do not provide.

    Owed capacity is checked now and at each wind-down step and shutdown date.
    """
    if capacity is not None:
        _check_domain_sizes(objects, capacity, problems)
    _check_owed_capacity(objects, now, problems)


def _check_domain_sizes(objects, capacity, problems):
    models = objects.get("models", {})
    for name, group in sorted(objects.get("groups", {}).items()):
        model = models.get(group.model)
        if model is None or group.replicas == 0:
            continue
        largest = capacity.largest_domain(group.places)
        if model.vms_per_replica > largest:
            where = f" in {', '.join(group.places)}" if group.places else ""
            problems.append(
                configuration_errors.InvalidObject(
                    f"groups/{name}.model",
                    f"a replica of {group.model} needs {model.vms_per_replica} VMs of one fabric"
                    f" domain; the largest{where} has {largest}",
                )
            )


def _check_owed_capacity(objects, now, problems):
    times = [now]
    for winddown in objects.get("winddowns", {}).values():
        for step in winddown.steps:
            if step.at.tzinfo is not None:
                times.append(step.at)
        if winddown.date.tzinfo is not None:
            times.append(winddown.date)
    for unit in ("requests_per_s", "tokens_per_s"):
        for time in sorted(times):
            available = _total_capacity(objects, unit, time)
            if available is None:
                break
            owed, largest = _total_owed(objects, unit, time)
            if owed > available * (1 + 1e-9):
                problems.append(
                    configuration_errors.InvalidObject(
                        f"workspaces/{largest}.owed_{unit}",
                        f"{owed:g} {unit} are owed to all workspaces at {time.isoformat()};"
                        f" the models provide {available:g}",
                    )
                )
                break


def _total_owed(objects, unit, time):
    total, largest, largest_name = 0.0, -1.0, ""
    for name, workspace in sorted(objects.get("workspaces", {}).items()):
        until = workspace.until
        if until is not None and until.tzinfo is not None and until <= time:
            continue
        owed = getattr(workspace, f"owed_{unit}")
        total += owed
        if owed > largest:
            largest, largest_name = owed, name
    return total, largest_name


def _total_capacity(objects, unit, time):
    """Return the capacity of all models at a time, or None if a model does not state its own."""
    replicas_by_model = {}
    for group in objects.get("groups", {}).values():
        replicas_by_model[group.model] = replicas_by_model.get(group.model, 0) + group.replicas
    for service in objects.get("services", {}).values():
        if service.kind == "plain":
            # Plain services state no capacity, but may serve part of the owed requests.
            if unit == "requests_per_s":
                return None
            continue
        replicas_by_model[service.model] = replicas_by_model.get(service.model, 0) + len(
            service.endpoints
        )
    total = 0.0
    for name, replicas in replicas_by_model.items():
        model = objects.get("models", {}).get(name)
        per_replica = None if model is None else getattr(model, f"replica_{unit}")
        if per_replica is None:
            return None
        total += min(replicas, _remaining_replicas(objects, name, time, replicas)) * per_replica
    return total if replicas_by_model else None


def _remaining_replicas(objects, model, time, replicas):
    for winddown in objects.get("winddowns", {}).values():
        if winddown.model != model or winddown.date.tzinfo is None:
            continue
        if time >= winddown.date:
            return 0
        for step in winddown.steps:
            if step.at.tzinfo is not None and step.at <= time:
                replicas = min(replicas, step.replicas)
    return replicas
