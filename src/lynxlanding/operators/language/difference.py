"""Difference between a revision and a change, for ``--dry-run``."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class DifferenceLine:
    """One changed field; the action is ``create``, ``change`` or ``delete``."""

    action: str
    object: str
    field: str
    before: object
    after: object


def compare(snapshot, change):
    """Return the lines that a change alters, in order of object and field.

    Parameters
    ----------
    snapshot : Snapshot
        Revision before the change.
    change : ConfigurationChange
        The change.
    """
    lines = []
    for (kind, name), spec in sorted(change.puts.items(), key=lambda item: item[0]):
        path = f"{kind}/{name}"
        before = snapshot.of_kind(kind).get(name)
        after_document = spec.model_dump(mode="json")
        if before is None:
            for field, value in after_document.items():
                lines.append(DifferenceLine("create", path, field, None, value))
            continue
        before_document = before.model_dump(mode="json")
        for field, value in after_document.items():
            if before_document[field] != value:
                lines.append(DifferenceLine("change", path, field, before_document[field], value))
    for kind, name in sorted(change.deletes):
        lines.append(DifferenceLine("delete", f"{kind}/{name}", "", None, None))
    return lines
