"""Store calls as values, so that multi-step store operations contain no I/O.

A procedure is a generator that yields store calls and is sent their results; ``run`` performs the
calls on an ``ObjectStore``. Tests use this to interleave the calls of several procedures.
"""

import dataclasses
from typing import Any


@dataclasses.dataclass(slots=True, frozen=True)
class Get:
    """Read one object."""

    kind: str
    name: str

    def perform(self, store):
        """Perform the call on a store."""
        return store.get(self.kind, self.name)


@dataclasses.dataclass(slots=True, frozen=True)
class ListKind:
    """Read all objects of a kind."""

    kind: str

    def perform(self, store):
        """Perform the call on a store."""
        return store.list(self.kind)


@dataclasses.dataclass(slots=True, frozen=True)
class Create:
    """Create one object."""

    kind: str
    name: str
    value: Any

    def perform(self, store):
        """Perform the call on a store."""
        return store.create(self.kind, self.name, self.value)


@dataclasses.dataclass(slots=True, frozen=True)
class Update:
    """Replace one object if its stored version equals ``version``."""

    kind: str
    name: str
    value: Any
    version: int

    def perform(self, store):
        """Perform the call on a store."""
        return store.update(self.kind, self.name, self.value, self.version)


@dataclasses.dataclass(slots=True, frozen=True)
class Delete:
    """Delete one object if its stored version equals ``version``."""

    kind: str
    name: str
    version: int

    def perform(self, store):
        """Perform the call on a store."""
        return store.delete(self.kind, self.name, self.version)


def run(procedure, store):
    """Perform the calls of a procedure on a store and return the procedure's result."""
    try:
        call = next(procedure)
        while True:
            try:
                result = call.perform(store)
            except Exception as e:  # noqa: BLE001 - the procedure decides what each failure means
                call = procedure.throw(e)
                continue
            call = procedure.send(result)
    except StopIteration as stop:
        return stop.value
