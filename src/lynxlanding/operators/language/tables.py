"""Tables available to queries, and the types of their columns."""

import dataclasses
import difflib

from lynxlanding.errors import operators as operator_errors
from lynxlanding.operators.view import rows


@dataclasses.dataclass(slots=True, frozen=True)
class Table:
    """One table of the query language.

    Parameters
    ----------
    view_attribute : str
        Attribute of ``ClusterView`` that holds the rows.
    row_type : type
        Row type; its fields are the columns.
    states : tuple of str
        The table contains only rows whose ``state`` is one of these; empty means all rows.
    """

    view_attribute: str
    row_type: type
    states: tuple[str, ...] = ()

    def columns(self):
        """Return the column types by column name."""
        return {field.name: field.type for field in dataclasses.fields(self.row_type)}

    def select_rows(self, view):
        """Return the rows of a view that belong to the table."""
        selected = []
        for row in getattr(view, self.view_attribute):
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


def find_table(name):
    """Return the table with a name; raises ``StatementError`` if there is none."""
    table = TABLES.get(name.value)
    if table is None:
        raise unknown_name_error("table", name, TABLES)
    return table


def unknown_name_error(description, name, known_names):
    """Return the error for an unknown name, which suggests the most similar known name.

    Parameters
    ----------
    description : str
        What the name denotes, such as ``column``.
    name : LocatedValue
        The unknown name.
    known_names : iterable of str
        Names that exist.
    """
    alternatives = sorted(known_names)
    closest = difflib.get_close_matches(str(name.value), alternatives, n=1)
    reason = f"unknown {description} {str(name.value)!r}"
    if closest:
        reason += f" (did you mean {closest[0]!r}?)"
    return operator_errors.StatementError(name.line, name.column, reason, tuple(alternatives))
