"""Differences that a change makes to a revision, as ``--dry-run`` reports them."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class FieldDifference:
    """Difference of one field, or one deleted object.

    The action is ``create``, ``change`` or ``delete``. A deleted object has one entry with an empty
    field name.
    """

    action: str
    object: str
    field: str
    before: object
    after: object


def compare(snapshot, change):
    """Return the fields that a change alters.

    Puts come first and then deletes, each sorted by kind and name.

    Parameters
    ----------
    snapshot : Snapshot
        Revision before the change.
    change : ConfigurationChange
        The change.
    """
    differences = []
    for (kind, name), spec in sorted(change.puts.items(), key=lambda item: item[0]):
        path = f"{kind}/{name}"
        before = snapshot.of_kind(kind).get(name)
        after_document = spec.model_dump(mode="json")
        if before is None:
            for field, value in after_document.items():
                differences.append(FieldDifference("create", path, field, None, value))
            continue
        before_document = before.model_dump(mode="json")
        for field, value in after_document.items():
            if before_document[field] != value:
                differences.append(
                    FieldDifference("change", path, field, before_document[field], value)
                )
    for kind, name in sorted(change.deletes):
        differences.append(FieldDifference("delete", f"{kind}/{name}", "", None, None))
    return differences
