"""Tables that queries name, and the types of their columns."""

import dataclasses
import difflib

from lynxlanding.errors import operators as operator_errors
from lynxlanding.operators.view import rows


@dataclasses.dataclass(slots=True, frozen=True)
class Table:
    """One table of the query language.

    Parameters
    ----------
    attribute : str
        Attribute of ``ClusterView`` that holds the rows.
    row_type : type
        Row type; its fields are the columns.
    states : tuple of str
        Only rows with one of these values of ``state`` belong to the table; empty means all.
    """

    attribute: str
    row_type: type
    states: tuple[str, ...] = ()

    def columns(self):
        """Return the types of the columns by name."""
        return {field.name: field.type for field in dataclasses.fields(self.row_type)}

    def rows_of(self, view):
        """Return the rows of the table in a view."""
        selected = []
        for row in getattr(view, self.attribute):
            if self.states and row.state not in self.states:
                continue
            selected.append(row)
        return selected


TABLES = {
    "serving": Table("endpoints", rows.EndpointRow, (rows.SERVING,)),
    "leaving": Table("endpoints", rows.EndpointRow, (rows.LEAVING,)),
    "stranded": Table("groups", rows.GroupRow, (rows.INCOMPLETE,)),
    "endpoints": Table("endpoints", rows.EndpointRow),
    "groups": Table("groups", rows.GroupRow),
    "workspaces": Table("workspaces", rows.WorkspaceRow),
    "models": Table("models", rows.ModelRow),
    "nodes": Table("nodes", rows.NodeRow),
    "services": Table("services", rows.ServiceRow),
    "drains": Table("drains", rows.DrainRow),
    "winddown": Table("winddown", rows.WinddownRow),
}


def find(word):
    """Return the table that a word names; raises ``StatementError``."""
    table = TABLES.get(word.value)
    if table is None:
        raise unknown("table", word, TABLES)
    return table


def unknown(what, word, known):
    """Return the error for an unknown name, with the nearest known name first.

    Parameters
    ----------
    what : str
        What the name stands for.
    word : Word
        The unknown name.
    known : iterable of str
        Names that exist.
    """
    names = sorted(known)
    nearest = difflib.get_close_matches(str(word.value), names, n=1)
    reason = f"unknown {what} {str(word.value)!r}"
    if nearest:
        reason += f" (did you mean {nearest[0]!r}?)"
    return operator_errors.StatementError(word.line, word.column, reason, tuple(names))
