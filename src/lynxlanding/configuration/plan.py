"""Dry run of a change: its difference to a snapshot and its validation problems."""

import dataclasses
import datetime

from lynxlanding.configuration import difference, encoding, part, validation
from lynxlanding.errors import configuration as configuration_errors


@dataclasses.dataclass(slots=True, frozen=True)
class Plan:
    """Result of validating a change against a snapshot.

    Parameters
    ----------
    revision : int
        Revision that the change was validated against.
    objects : dict of str to dict of str to Spec
        Objects after the change, by kind and name.
    entries : list of DifferenceEntry
        Objects that the change alters.
    problems : list of InvalidObject
        Validation problems; empty if the change can be committed.
    """

    revision: int
    objects: dict
    entries: list
    problems: list


def make(change, base, now, capacity=None):
    """Validate a change against a snapshot.

    Parameters
    ----------
    change : Change
        Puts and deletes.
    base : Snapshot
        Snapshot that the change applies to.
    now : float
        UNIX seconds.
    capacity : Capacity or None
        Existing VMs; None skips the rules that need them.

    Returns
    -------
    Plan
        Difference and problems; nothing is written.
    """
    problems = []
    objects = {}
    for kind, specs_by_name in base.objects.items():
        objects[kind] = dict(specs_by_name)
    for kind, name in change.deletes:
        if (kind, name) in change.puts:
            problems.append(
                configuration_errors.InvalidObject(
                    encoding.key(kind, name), "is both put and deleted by the change"
                )
            )
            continue
        if objects.get(kind, {}).pop(name, None) is None:
            problems.append(
                configuration_errors.InvalidObject(encoding.key(kind, name), "does not exist")
            )
    put_keys = set()
    for (kind, name), document in change.puts.items():
        try:
            spec = part.parse_spec(kind, name, document)
        except configuration_errors.InvalidObject as e:
            problems.append(e)
            continue
        objects[kind][name] = spec
        if base.of_kind(kind).get(name) != spec:
            put_keys.add(encoding.key(kind, name))
    if not problems:
        current_time = datetime.datetime.fromtimestamp(now, datetime.UTC)
        problems = validation.find_problems(objects, put_keys, current_time, capacity)
    return Plan(base.revision, objects, difference.between(base.objects, objects), problems)
