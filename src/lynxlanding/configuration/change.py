"""Configuration change submitted by an operator."""

import dataclasses

import pydantic

from lynxlanding.configuration import encoding


@dataclasses.dataclass(slots=True, frozen=True)
class Change:
    """Puts and deletes that are applied atomically.

    Parameters
    ----------
    change_id : str
        Id from ``change_ids.generate``; makes a repeated submission idempotent.
    author : str
        Submitter of the change.
    puts : dict of (str, str) to (dict or Spec)
        Objects to create or replace, by kind and name.
    deletes : tuple of (str, str)
        Kind and name of the objects to delete.
    statements : tuple of str
        Operator statements, recorded in the history.
    base_revision : int or None
        Revision that the change is based on; a later change of the same objects is a conflict.
        None uses the head at the first attempt.
    """

    change_id: str
    author: str
    puts: dict = dataclasses.field(default_factory=dict)
    deletes: tuple = ()
    statements: tuple = ()
    base_revision: int | None = None

    def keys(self):
        """Return the ``kind/name`` keys that the change touches."""
        changed_keys = set()
        for kind, name in (*self.puts, *self.deletes):
            changed_keys.add(encoding.key(kind, name))
        return changed_keys

    def request_digest(self):
        """Return the digest of the puts and deletes; detects the reuse of a change id."""
        puts = {}
        for (kind, name), submitted in self.puts.items():
            is_typed = isinstance(submitted, pydantic.BaseModel)
            document = submitted.model_dump(mode="json") if is_typed else submitted
            puts[encoding.key(kind, name)] = document
        deletes = sorted(encoding.key(kind, name) for kind, name in self.deletes)
        return encoding.digest({"puts": puts, "deletes": deletes})
