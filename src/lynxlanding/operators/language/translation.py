"""Translates commands into puts and deletes of configuration objects."""

import dataclasses
import functools
import hashlib
import re

import pydantic

from lynxlanding.configuration import kinds, specs
from lynxlanding.errors import operators as operator_errors
from lynxlanding.operators.language import commands, tables

_OBJECT_NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
_NAME_SAFE_ADDRESS = re.compile(r"[a-z0-9][a-z0-9.-]{0,55}:[0-9]{1,5}")
_KIND_BY_NAME = {}
for _kind in kinds.SPEC_BY_KIND:
    _KIND_BY_NAME[_kind] = _kind
    _KIND_BY_NAME[_kind.removesuffix("s")] = _kind


@dataclasses.dataclass(slots=True)
class ConfigurationChange:
    """Puts and deletes of one change, which are committed atomically.

    Parameters
    ----------
    puts : dict of (str, str) to Spec
        Created and replaced objects by kind and name.
    deletes : set of (str, str)
        Kind and name of each deleted object.
    """

    puts: dict = dataclasses.field(default_factory=dict)
    deletes: set = dataclasses.field(default_factory=set)


def translate(statements, snapshot):
    """Translate commands into a change of a revision.

    Parameters
    ----------
    statements : list
        Commands in order; each one sees the effects of the earlier ones.
    snapshot : Snapshot
        Revision that the commands apply to.

    Returns
    -------
    ConfigurationChange
        The combined change. The commit validates references between objects.

    Raises
    ------
    errors.operators.StatementError
        If an object already exists or does not exist, a field is unknown, or a value is
        invalid.
    """
    translator = _CommandTranslator(snapshot)
    for statement in statements:
        translator.apply(statement)
    return translator.build_change()


class _CommandTranslator:
    def __init__(self, snapshot):
        self._base_snapshot = snapshot
        self._objects = {kind: dict(snapshot.of_kind(kind)) for kind in kinds.SPEC_BY_KIND}
        # The change includes every object that a command names, even if it stays as it is in
        # this revision. A later revision may have changed it; the commit detects that conflict.
        self._affected_objects = set()

    def build_change(self):
        change = ConfigurationChange()
        for kind, name in sorted(self._affected_objects):
            spec = self._objects[kind].get(name)
            if spec is not None:
                change.puts[kind, name] = spec
            elif name in self._base_snapshot.of_kind(kind):
                change.deletes.add((kind, name))
        return change

    @functools.singledispatchmethod
    def apply(self, statement):
        raise TypeError(f"{type(statement).__name__} is not a command")

    @apply.register
    def _(self, statement: commands.CreateObject):
        kind = _find_kind(statement.kind)
        _check_name(statement.name)
        if statement.name.value in self._objects[kind]:
            raise _error_at(
                statement.name,
                f"{kind}/{statement.name.value} exists already; change it with 'set'",
            )
        self._put_object(kind, statement.name, {}, statement.fields)

    @apply.register
    def _(self, statement: commands.SetFields):
        kind = _find_kind(statement.kind)
        spec = self._find_object(kind, statement.name)
        self._put_object(kind, statement.name, dict(spec), statement.fields)

    @apply.register
    def _(self, statement: commands.DeleteObject):
        kind = _find_kind(statement.kind)
        self._find_object(kind, statement.name)
        self._delete(kind, statement.name.value)

    @apply.register
    def _(self, statement: commands.DrainEndpoint):
        address = statement.address.value
        if self._drain_names(address):
            raise _error_at(statement.address, f"endpoint {address} is being drained already")
        name = drain_name(address)
        self._affected_objects.add(("drains", name))
        self._objects["drains"][name] = specs.DrainSpec(address=address, reason=statement.reason)

    @apply.register
    def _(self, statement: commands.UndrainEndpoint):
        names = self._drain_names(statement.address.value)
        if not names:
            drained_addresses = sorted(spec.address for spec in self._objects["drains"].values())
            raise _error_at(
                statement.address,
                f"no drain of endpoint {statement.address.value} is in effect",
                drained_addresses,
            )
        for name in names:
            self._delete("drains", name)

    @apply.register
    def _(self, statement: commands.ScaleGroup):
        spec = self._find_object("groups", statement.name)
        fields = ((_located_name("replicas", statement.replicas), statement.replicas),)
        self._put_object("groups", statement.name, dict(spec), fields)

    @apply.register
    def _(self, statement: commands.ChangeVersion):
        spec = self._find_object("models", statement.model)
        version = self._find_object("versions", statement.version)
        if version.model != statement.model.value:
            raise _error_at(
                statement.version,
                f"version {statement.version.value} belongs to model {version.model}",
            )
        fields = ((_located_name("version", statement.version), statement.version),)
        self._put_object("models", statement.model, dict(spec), fields)

    @apply.register
    def _(self, statement: commands.ScheduleWinddown):
        model = statement.model.value
        self._find_object("models", statement.model)
        previous = None
        steps = []
        for at, replicas in statement.steps:
            if at.value > statement.date.value:
                raise _error_at(
                    at, f"the step is after the date {statement.date.value.isoformat()}"
                )
            if previous is not None and at.value <= previous:
                raise _error_at(at, "the steps are not in order of time")
            previous = at.value
            steps.append({"at": at.value, "replicas": replicas.value})
        for name in self._winddown_names(model):
            self._delete("winddowns", name)
        document = {"model": model, "date": statement.date.value, "steps": tuple(steps)}
        self._affected_objects.add(("winddowns", model))
        self._objects["winddowns"][model] = _validate_spec(
            "winddowns", document, {}, statement.model
        )

    @apply.register
    def _(self, statement: commands.CancelWinddown):
        names = self._winddown_names(statement.model.value)
        if not names:
            known_models = sorted(spec.model for spec in self._objects["winddowns"].values())
            raise _error_at(
                statement.model,
                f"no wind-down of model {statement.model.value} exists",
                known_models,
            )
        for name in names:
            self._delete("winddowns", name)

    def _delete(self, kind, name):
        self._affected_objects.add((kind, name))
        del self._objects[kind][name]

    def _drain_names(self, address):
        drains = self._objects["drains"].items()
        return [name for name, spec in drains if spec.address == address]

    def _winddown_names(self, model):
        winddowns = self._objects["winddowns"].items()
        return [name for name, spec in winddowns if spec.model == model]

    def _find_object(self, kind, name):
        spec = self._objects[kind].get(name.value)
        if spec is None:
            raise tables.unknown_name_error(kind.removesuffix("s"), name, self._objects[kind])
        return spec

    def _put_object(self, kind, name, document, fields):
        known_fields = kinds.SPEC_BY_KIND[kind].model_fields
        located_values = {}
        for field, value in fields:
            if field.value not in known_fields:
                raise tables.unknown_name_error(f"field of {kind}", field, known_fields)
            if field.value in located_values:
                raise _error_at(field, f"field {field.value!r} is given twice")
            located_values[field.value] = value
            document[field.value] = value.value
        self._affected_objects.add((kind, name.value))
        self._objects[kind][name.value] = _validate_spec(kind, document, located_values, name)


def drain_name(address):
    """Return the object name of the drain of an endpoint address.

    An address that violates the rules for object names gets a digest as its suffix, so that no two
    addresses share a name.
    """
    if _NAME_SAFE_ADDRESS.fullmatch(address):
        return address.replace(":", "-")
    readable_prefix = re.sub(r"[^a-z0-9.-]", "-", address.lower()).strip("-.")[:40]
    return f"{readable_prefix}-{hashlib.sha256(address.encode()).hexdigest()[:16]}".lstrip("-")


def _validate_spec(kind, document, located_values, name):
    try:
        return kinds.SPEC_BY_KIND[kind].model_validate(document)
    except pydantic.ValidationError as e:
        first = e.errors()[0]
        path = ".".join(str(part) for part in first["loc"])
        invalid_value = located_values.get(str(first["loc"][0]) if first["loc"] else "", name)
        if first["type"] == "missing":
            raise _error_at(name, f"field {path!r} of {kind} is missing") from e
        raise _error_at(invalid_value, f"{path}: {first['msg']}") from e


def _find_kind(kind_name):
    kind = _KIND_BY_NAME.get(kind_name.value)
    if kind is None:
        raise tables.unknown_name_error(
            "kind", kind_name, [name.removesuffix("s") for name in kinds.SPEC_BY_KIND]
        )
    return kind


def _check_name(name):
    if not _OBJECT_NAME.fullmatch(str(name.value)):
        raise _error_at(
            name,
            f"{name.value!r} is not a name",
            ("up to 63 of a-z, 0-9, '.', '_' and '-', starting with a letter or digit",),
        )


def _located_name(name, located_value):
    return dataclasses.replace(located_value, value=name)


def _error_at(located_value, reason, expected=()):
    return operator_errors.StatementError(
        located_value.line, located_value.column, reason, expected
    )
