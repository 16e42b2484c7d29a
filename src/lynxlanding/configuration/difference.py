"""Difference between two sets of configuration objects."""

import dataclasses

from lynxlanding.configuration import encoding


@dataclasses.dataclass(slots=True, frozen=True)
class DifferenceEntry:
    """One object that differs between two sets.

    Parameters
    ----------
    action : {"create", "replace", "delete"}
        Action that turns the earlier object into the later one.
    key : str
        ``kind/name``.
    fields : dict of str to (object, object)
        Earlier and later JSON value of each field that differs.
    """

    action: str
    key: str
    fields: dict


def between(earlier, later):
    """Return the differences between two sets of objects.

    Parameters
    ----------
    earlier, later : dict of str to dict of str to Spec
        Objects by kind and name, as in ``Snapshot.objects``.

    Returns
    -------
    list of DifferenceEntry
        Entries, ordered by kind and name.
    """
    entries = []
    for kind in sorted(set(earlier) | set(later)):
        before, after = earlier.get(kind, {}), later.get(kind, {})
        for name in sorted(set(before) | set(after)):
            old, new = before.get(name), after.get(name)
            if old == new:
                continue
            action = "create" if old is None else "delete" if new is None else "replace"
            entries.append(DifferenceEntry(action, encoding.key(kind, name), _fields(old, new)))
    return entries


def _fields(old, new):
    before = {} if old is None else old.model_dump(mode="json")
    after = {} if new is None else new.model_dump(mode="json")
    differing = {}
    for field in sorted(set(before) | set(after)):
        if before.get(field) != after.get(field):
            differing[field] = (before.get(field), after.get(field))
    return differing
