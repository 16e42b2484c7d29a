"""Parsed commands; ``translation`` turns them into puts and deletes of configuration objects."""

import dataclasses

from lynxlanding.operators.language import located_value


@dataclasses.dataclass(slots=True, frozen=True)
class CreateObject:
    """``create KIND NAME with field = value, ...``."""

    kind: located_value.LocatedValue
    name: located_value.LocatedValue
    fields: tuple[tuple[located_value.LocatedValue, located_value.LocatedValue], ...]


@dataclasses.dataclass(slots=True, frozen=True)
class SetFields:
    """``set KIND NAME field = value, ...``."""

    kind: located_value.LocatedValue
    name: located_value.LocatedValue
    fields: tuple[tuple[located_value.LocatedValue, located_value.LocatedValue], ...]


@dataclasses.dataclass(slots=True, frozen=True)
class DeleteObject:
    """``delete KIND NAME``."""

    kind: located_value.LocatedValue
    name: located_value.LocatedValue


@dataclasses.dataclass(slots=True, frozen=True)
class DrainEndpoint:
    """``drain endpoint ADDRESS [because TEXT]``."""

    address: located_value.LocatedValue
    reason: str


@dataclasses.dataclass(slots=True, frozen=True)
class UndrainEndpoint:
    """``undrain endpoint ADDRESS``."""

    address: located_value.LocatedValue


@dataclasses.dataclass(slots=True, frozen=True)
class ScaleGroup:
    """``scale group NAME to N``."""

    name: located_value.LocatedValue
    replicas: located_value.LocatedValue


@dataclasses.dataclass(slots=True, frozen=True)
class ChangeVersion:
    """``change model NAME to version VERSION``."""

    model: located_value.LocatedValue
    version: located_value.LocatedValue


@dataclasses.dataclass(slots=True, frozen=True)
class ScheduleWinddown:
    """``wind down model NAME on DATE [at TIME keep N, ...]``."""

    model: located_value.LocatedValue
    date: located_value.LocatedValue
    steps: tuple[tuple[located_value.LocatedValue, located_value.LocatedValue], ...]


@dataclasses.dataclass(slots=True, frozen=True)
class CancelWinddown:
    """``cancel wind down of model NAME``."""

    model: located_value.LocatedValue
