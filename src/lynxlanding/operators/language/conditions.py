"""Conditions of the ``where`` clause."""

import dataclasses

from lynxlanding.operators.language import located_value


@dataclasses.dataclass(slots=True, frozen=True)
class Comparison:
    """``field operator value``; for ``in``, ``values`` holds the alternatives."""

    field: located_value.LocatedValue
    operator: str
    values: tuple[located_value.LocatedValue, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class And:
    """True if all parts are true."""

    parts: tuple


@dataclasses.dataclass(slots=True, frozen=True)
class Or:
    """True if at least one part is true."""

    parts: tuple


@dataclasses.dataclass(slots=True, frozen=True)
class Not:
    """True if the part is false."""

    part: object
