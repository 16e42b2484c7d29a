"""Conditions of ``where``."""

import dataclasses

from lynxlanding.operators.language import located_value


@dataclasses.dataclass(slots=True, frozen=True)
class Comparison:
    """``field operator value``; for ``in``, ``values`` holds the alternatives."""

    field: located_value.Word
    operator: str
    values: tuple[located_value.Word, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class And:
    """All parts hold."""

    parts: tuple


@dataclasses.dataclass(slots=True, frozen=True)
class Or:
    """At least one part holds."""

    parts: tuple


@dataclasses.dataclass(slots=True, frozen=True)
class Not:
    """The part does not hold."""

    part: object
