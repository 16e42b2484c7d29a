"""Validation against the VMs that exist and the capacity that is owed."""

from lynxlanding.errors import configuration as configuration_errors


def check(objects, now, capacity, found):
    """Append models that fit no fabric domain, and owed capacity that does not exist."""
    if capacity is not None:
        _check_domains(objects, capacity, found)
    _check_owed(objects, now, found)


def _check_domains(objects, capacity, found):
    models = objects.get("models", {})
    for name, group in sorted(objects.get("groups", {}).items()):
        model = models.get(group.model)
        if model is None or group.replicas == 0:
            continue
        largest = capacity.largest_domain(group.places)
        if model.vms_per_replica > largest:
            where = f" in {', '.join(group.places)}" if group.places else ""
            found.append(
                configuration_errors.InvalidObject(
                    f"groups/{name}.model",
                    f"a replica of {group.model} needs {model.vms_per_replica} VMs of one fabric"
                    f" domain; the largest{where} has {largest}",
                )
            )


def _check_owed(objects, now, found):
    moments = [now]
    for winddown in objects.get("winddowns", {}).values():
        for step in winddown.steps:
            if step.at.tzinfo is not None:
                moments.append(step.at)
        if winddown.date.tzinfo is not None:
            moments.append(winddown.date)
    for unit in ("requests_per_s", "tokens_per_s"):
        for moment in sorted(moments):
            available = _available(objects, unit, moment)
            if available is None:
                break
            owed, largest = _owed(objects, unit, moment)
            if owed > available * (1 + 1e-9):
                found.append(
                    configuration_errors.InvalidObject(
                        f"workspaces/{largest}.owed_{unit}",
                        f"{owed:g} {unit} are owed to all workspaces at {moment.isoformat()};"
                        f" the models provide {available:g}",
                    )
                )
                break


def _owed(objects, unit, moment):
    total, largest, largest_name = 0.0, -1.0, ""
    for name, workspace in sorted(objects.get("workspaces", {}).items()):
        until = workspace.until
        if until is not None and until.tzinfo is not None and until <= moment:
            continue
        owed = getattr(workspace, f"owed_{unit}")
        total += owed
        if owed > largest:
            largest, largest_name = owed, name
    return total, largest_name


def _available(objects, unit, moment):
    """Return the capacity of all models at a moment, or None if a model does not state its own."""
    replicas_by_model = {}
    for group in objects.get("groups", {}).values():
        replicas_by_model[group.model] = replicas_by_model.get(group.model, 0) + group.replicas
    for service in objects.get("services", {}).values():
        if service.kind == "plain":
            # Plain services state no capacity, and owed requests may be meant for them.
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
        total += min(replicas, _remaining(objects, name, moment, replicas)) * per_replica
    return total if replicas_by_model else None


def _remaining(objects, model, moment, replicas):
    for winddown in objects.get("winddowns", {}).values():
        if winddown.model != model or winddown.date.tzinfo is None:
            continue
        if moment >= winddown.date:
            return 0
        for step in winddown.steps:
            if step.at.tzinfo is not None and step.at <= moment:
                replicas = min(replicas, step.replicas)
    return replicas
