"""Translates commands to puts and deletes of configuration objects."""

import dataclasses
import functools
import hashlib
import re

import pydantic

from lynxlanding.configuration import kinds, specs
from lynxlanding.errors import operators as operator_errors
from lynxlanding.operators.language import commands, tables

_NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
_PLAIN_ADDRESS = re.compile(r"[a-z0-9][a-z0-9.-]{0,55}:[0-9]{1,5}")
KIND_BY_WORD = {}
for _kind in kinds.SPEC_BY_KIND:
    KIND_BY_WORD[_kind] = _kind
    KIND_BY_WORD[_kind.removesuffix("s")] = _kind


@dataclasses.dataclass(slots=True)
class ConfigurationChange:
    """Puts and deletes of one change, applied together or not at all.

    Parameters
    ----------
    puts : dict of (str, str) to Spec
        New objects by kind and name.
    deletes : set of (str, str)
        Kinds and names of the deleted objects.
    """

    puts: dict = dataclasses.field(default_factory=dict)
    deletes: set = dataclasses.field(default_factory=set)


def translate(statements, snapshot):
    """Translate commands against a revision.

    Parameters
    ----------
    statements : list
        Commands in order; a later one sees the effect of the earlier ones.
    snapshot : Snapshot
        Revision that the commands change.

    Returns
    -------
    ConfigurationChange
        The combined change. References between objects are checked by the commit.

    Raises
    ------
    errors.operators.StatementError
        If an object exists already, does not exist, or a field is unknown or out of range.
    """
    translation = _Translation(snapshot)
    for statement in statements:
        translation.apply(statement)
    return translation.change()


class _Translation:
    def __init__(self, snapshot):
        self._base = snapshot
        self._objects = {kind: dict(snapshot.of_kind(kind)) for kind in kinds.SPEC_BY_KIND}
        # Objects that statements name are part of the change even if they stay as they are in
        # this revision. A later revision may have changed them, and the commit finds that out.
        self._touched = set()

    def change(self):
        change = ConfigurationChange()
        for kind, name in sorted(self._touched):
            spec = self._objects[kind].get(name)
            if spec is not None:
                change.puts[kind, name] = spec
            elif name in self._base.of_kind(kind):
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
            raise _error(
                statement.name,
                f"{kind}/{statement.name.value} exists already; change it with 'set'",
            )
        self._put(kind, statement.name, {}, statement.fields)

    @apply.register
    def _(self, statement: commands.SetFields):
        kind = _find_kind(statement.kind)
        spec = self._existing(kind, statement.name)
        self._put(kind, statement.name, dict(spec), statement.fields)

    @apply.register
    def _(self, statement: commands.DeleteObject):
        kind = _find_kind(statement.kind)
        self._existing(kind, statement.name)
        self._delete(kind, statement.name.value)

    @apply.register
    def _(self, statement: commands.DrainEndpoint):
        address = statement.address.value
        if self._drains_of(address):
            raise _error(statement.address, f"endpoint {address} is being drained already")
        name = drain_name(address)
        self._touched.add(("drains", name))
        self._objects["drains"][name] = specs.DrainSpec(address=address, reason=statement.reason)

    @apply.register
    def _(self, statement: commands.UndrainEndpoint):
        names = self._drains_of(statement.address.value)
        if not names:
            known = sorted(spec.address for spec in self._objects["drains"].values())
            raise _error(
                statement.address,
                f"no drain of endpoint {statement.address.value} is in effect",
                known,
            )
        for name in names:
            self._delete("drains", name)

    @apply.register
    def _(self, statement: commands.ScaleGroup):
        spec = self._existing("groups", statement.name)
        fields = ((_field("replicas", statement.replicas), statement.replicas),)
        self._put("groups", statement.name, dict(spec), fields)

    @apply.register
    def _(self, statement: commands.ChangeVersion):
        spec = self._existing("models", statement.model)
        version = self._existing("versions", statement.version)
        if version.model != statement.model.value:
            raise _error(
                statement.version,
                f"version {statement.version.value} belongs to model {version.model}",
            )
        fields = ((_field("version", statement.version), statement.version),)
        self._put("models", statement.model, dict(spec), fields)

    @apply.register
    def _(self, statement: commands.ScheduleWinddown):
        model = statement.model.value
        self._existing("models", statement.model)
        previous = None
        steps = []
        for at, replicas in statement.steps:
            if at.value > statement.date.value:
                raise _error(at, f"the step is after the date {statement.date.value.isoformat()}")
            if previous is not None and at.value <= previous:
                raise _error(at, "the steps are not in order of time")
            previous = at.value
            steps.append({"at": at.value, "replicas": replicas.value})
        for name in self._winddowns_of(model):
            self._delete("winddowns", name)
        document = {"model": model, "date": statement.date.value, "steps": tuple(steps)}
        self._touched.add(("winddowns", model))
        self._objects["winddowns"][model] = _build("winddowns", document, {}, statement.model)

    @apply.register
    def _(self, statement: commands.CancelWinddown):
        names = self._winddowns_of(statement.model.value)
        if not names:
            known = sorted(spec.model for spec in self._objects["winddowns"].values())
            raise _error(
                statement.model, f"no wind-down of model {statement.model.value} exists", known
            )
        for name in names:
            self._delete("winddowns", name)

    def _delete(self, kind, name):
        self._touched.add((kind, name))
        del self._objects[kind][name]

    def _drains_of(self, address):
        drains = self._objects["drains"].items()
        return [name for name, spec in drains if spec.address == address]

    def _winddowns_of(self, model):
        winddowns = self._objects["winddowns"].items()
        return [name for name, spec in winddowns if spec.model == model]

    def _existing(self, kind, word):
        spec = self._objects[kind].get(word.value)
        if spec is None:
            raise tables.unknown(kind.removesuffix("s"), word, self._objects[kind])
        return spec

    def _put(self, kind, name, document, fields):
        known = kinds.SPEC_BY_KIND[kind].model_fields
        places = {}
        for field, value in fields:
            if field.value not in known:
                raise tables.unknown(f"field of {kind}", field, known)
            if field.value in places:
                raise _error(field, f"field {field.value!r} is given twice")
            places[field.value] = value
            document[field.value] = value.value
        self._touched.add((kind, name.value))
        self._objects[kind][name.value] = _build(kind, document, places, name)


def drain_name(address):
    """Return the object name of the drain of an address.

    Addresses that do not fit the rules for names get a digest, so that two of them never share a
    name.
    """
    if _PLAIN_ADDRESS.fullmatch(address):
        return address.replace(":", "-")
    plain = re.sub(r"[^a-z0-9.-]", "-", address.lower()).strip("-.")[:40]
    return f"{plain}-{hashlib.sha256(address.encode()).hexdigest()[:16]}".lstrip("-")


def _build(kind, document, places, name):
    try:
        return kinds.SPEC_BY_KIND[kind].model_validate(document)
    except pydantic.ValidationError as e:
        first = e.errors()[0]
        path = ".".join(str(part) for part in first["loc"])
        word = places.get(str(first["loc"][0]) if first["loc"] else "", name)
        if first["type"] == "missing":
            raise _error(name, f"field {path!r} of {kind} is missing") from e
        raise _error(word, f"{path}: {first['msg']}") from e


def _find_kind(word):
    kind = KIND_BY_WORD.get(word.value)
    if kind is None:
        raise tables.unknown("kind", word, [name.removesuffix("s") for name in kinds.SPEC_BY_KIND])
    return kind


def _check_name(word):
    if not _NAME.fullmatch(str(word.value)):
        raise _error(
            word,
            f"{word.value!r} is not a name",
            ("up to 63 of a-z, 0-9, '.', '_' and '-', starting with a letter or digit",),
        )


def _field(name, word):
    return dataclasses.replace(word, value=name)


def _error(word, reason, expected=()):
    return operator_errors.StatementError(word.line, word.column, reason, expected)
