"""Validation rules across configuration objects.

``specs`` validates the fields of a single object. This module validates references between objects
and their requirements on the existing VMs.
"""

from lynxlanding.configuration import _capacity_rules, _schedule_rules, encoding
from lynxlanding.errors import configuration as configuration_errors

# Kind, field and referenced kind. The only cycle between kinds is models <-> versions; the rule
# that a model's version must belong to that model keeps it consistent.
REFERENCES = (
    ("models", "version", "versions"),
    ("versions", "model", "models"),
    ("adapters", "model", "models"),
    ("groups", "model", "models"),
    ("groups", "adapters", "adapters"),
    ("services", "model", "models"),
    ("winddowns", "model", "models"),
)


def find_problems(objects, changed, now, capacity=None):
    """Return the problems of a set of objects.

    Parameters
    ----------
    objects : dict of str to dict of str to Spec
        Objects by kind and name, after the change.
    changed : set of str
        Keys of the objects that the change puts. Only their dates are checked, so that an accepted
        object whose date has passed does not block later changes.
    now : datetime.datetime
        Current time, with a time zone.
    capacity : Capacity or None
        Existing VMs; None skips the rules that need them.

    Returns
    -------
    list of InvalidObject
        All problems, grouped by rule and then ordered by kind and name.
    """
    problems = []
    _check_references(objects, problems)
    _check_ownership(objects, problems)
    _check_services(objects, problems)
    _check_tokens(objects, problems)
    _schedule_rules.check(objects, changed, now, problems)
    _capacity_rules.check(objects, now, capacity, problems)
    return problems


def _check_references(objects, problems):
    for kind, field, target_kind in REFERENCES:
        targets = objects.get(target_kind, {})
        for name, spec in sorted(objects.get(kind, {}).items()):
            value = getattr(spec, field)
            names = value if isinstance(value, tuple) else (value,)
            for target in names:
                if target is None or target in targets:
                    continue
                problems.append(
                    configuration_errors.InvalidObject(
                        f"{encoding.key(kind, name)}.{field}",
                        f"refers to {encoding.key(target_kind, target)}, which does not exist",
                    )
                )


def _check_ownership(objects, problems):
    versions, adapters = objects.get("versions", {}), objects.get("adapters", {})
    for name, model in sorted(objects.get("models", {}).items()):
        version = versions.get(model.version)
        if version is not None and version.model != name:
            problems.append(
                configuration_errors.InvalidObject(
                    f"models/{name}.version",
                    f"version {model.version} belongs to model {version.model}",
                )
            )
    for name, group in sorted(objects.get("groups", {}).items()):
        for adapter_name in group.adapters:
            adapter = adapters.get(adapter_name)
            if adapter is not None and adapter.model != group.model:
                problems.append(
                    configuration_errors.InvalidObject(
                        f"groups/{name}.adapters",
                        f"adapter {adapter_name} belongs to model {adapter.model}",
                    )
                )


def _check_services(objects, problems):
    service_by_endpoint = {}
    for name, service in sorted(objects.get("services", {}).items()):
        path = f"services/{name}"
        if service.kind == "model" and service.model is None:
            problems.append(
                configuration_errors.InvalidObject(f"{path}.model", "kind model requires a model")
            )
        if service.kind == "plain" and service.model is not None:
            problems.append(
                configuration_errors.InvalidObject(f"{path}.model", "kind plain has no model")
            )
        for endpoint in service.endpoints:
            other = service_by_endpoint.setdefault(endpoint, name)
            if other != name:
                problems.append(
                    configuration_errors.InvalidObject(
                        f"{path}.endpoints", f"{endpoint} is also an endpoint of services/{other}"
                    )
                )


def _check_tokens(objects, problems):
    workspace_by_token = {}
    for name, workspace in sorted(objects.get("workspaces", {}).items()):
        for token in workspace.token_sha256:
            other = workspace_by_token.setdefault(token, name)
            if other != name:
                problems.append(
                    configuration_errors.InvalidObject(
                        f"workspaces/{name}.token_sha256",
                        f"a token also identifies workspaces/{other}",
                    )
                )
