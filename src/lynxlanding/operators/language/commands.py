"""Typed commands; each becomes puts and deletes of configuration objects."""

import dataclasses

from lynxlanding.operators.language import position


@dataclasses.dataclass(slots=True, frozen=True)
class CreateObject:
    """``create KIND NAME with field = value, ...``."""

    kind: position.Word
    name: position.Word
    fields: tuple[tuple[position.Word, position.Word], ...]


@dataclasses.dataclass(slots=True, frozen=True)
class SetFields:
    """``set KIND NAME field = value, ...``."""

    kind: position.Word
    name: position.Word
    fields: tuple[tuple[position.Word, position.Word], ...]


@dataclasses.dataclass(slots=True, frozen=True)
class DeleteObject:
    """``delete KIND NAME``."""

    kind: position.Word
    name: position.Word


@dataclasses.dataclass(slots=True, frozen=True)
class DrainEndpoint:
    """``drain endpoint ADDRESS [because TEXT]``."""

    address: position.Word
    reason: str


@dataclasses.dataclass(slots=True, frozen=True)
class UndrainEndpoint:
    """``undrain endpoint ADDRESS``."""

    address: position.Word


@dataclasses.dataclass(slots=True, frozen=True)
class ScaleGroup:
    """``scale group NAME to N``."""

    name: position.Word
    replicas: position.Word


@dataclasses.dataclass(slots=True, frozen=True)
class ChangeVersion:
    """``change model NAME to version VERSION``."""

    model: position.Word
    version: position.Word


@dataclasses.dataclass(slots=True, frozen=True)
class ScheduleWinddown:
    """``wind down model NAME on DATE [at TIME keep N, ...]``."""

    model: position.Word
    date: position.Word
    steps: tuple[tuple[position.Word, position.Word], ...]


@dataclasses.dataclass(slots=True, frozen=True)
class CancelWinddown:
    """``cancel wind down of model NAME``."""

    model: position.Word
