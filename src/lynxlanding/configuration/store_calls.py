"""Store calls as values, so that commits are written without I/O.

A procedure is a generator that yields calls and receives their results; ``run`` performs them on
an ``ObjectStore``. Tests step several procedures in any order between two calls.
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
    """Replace one object if its version is current."""

    kind: str
    name: str
    value: Any
    version: int

    def perform(self, store):
        """Perform the call on a store."""
        return store.update(self.kind, self.name, self.value, self.version)


@dataclasses.dataclass(slots=True, frozen=True)
class Delete:
    """Delete one object if its version is current."""

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
