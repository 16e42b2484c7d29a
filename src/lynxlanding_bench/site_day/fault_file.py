"""Reads the faults of a day from a YAML file and checks them.

The file is a list. Each entry has ``at_s`` and ``kind``; depending on the kind also ``targets``,
``for_s`` and ``value``. Targets of endpoints are ids, ``plain``, ``engines`` or ``zone:NAME``;
those of nodes are names or ``all``. ``share`` picks a part of the targets at random, at least one.
"""

import math

import yaml

from lynxlanding_bench.site_day import fault

_KEYS = frozenset({"at_s", "kind", "targets", "for_s", "value", "share"})


class FaultFileError(Exception):
    """A file of faults cannot be played.

    Parameters
    ----------
    problems : list of str
        Each problem, with file and line.
    """

    def __init__(self, problems):
        super().__init__("\n".join(problems))
        self.problems = problems


class Targets:
    """What faults can be aimed at.

    Parameters
    ----------
    zone_by_endpoint : dict of str to str
        Zone of each endpoint, by id.
    engines : collection of str
        Ids of the model engines; the other endpoints are those of the plain service.
    nodes : sequence of str
        Names of the nodes.
    """

    def __init__(self, zone_by_endpoint, engines, nodes):
        self._zone_by_endpoint = dict(zone_by_endpoint)
        self._engines = frozenset(engines)
        self._nodes = tuple(nodes)

    def resolve(self, scope, name):
        """Return the targets that a name stands for; none if it is unknown."""
        if scope == fault.NODES:
            return self._nodes if name == "all" else tuple(n for n in self._nodes if n == name)
        endpoint_ids = sorted(self._zone_by_endpoint)
        if name == "engines":
            return tuple(item for item in endpoint_ids if item in self._engines)
        if name == "plain":
            return tuple(item for item in endpoint_ids if item not in self._engines)
        if name.startswith("zone:"):
            zone = name.removeprefix("zone:")
            return tuple(item for item in endpoint_ids if self._zone_by_endpoint[item] == zone)
        return (name,) if name in self._zone_by_endpoint else ()


def load(path, targets, random_state):
    """Return the ``Fault``s of a file, ordered by time.

    Parameters
    ----------
    path : str
        Path of the YAML file.
    targets : Targets
        What the faults can be aimed at.
    random_state : random.Random
        Picks shares of targets; the same state and file give the same faults.

    Raises
    ------
    FaultFileError
        With all problems of the file.
    """
    try:
        with open(path, encoding="utf-8") as file:
            root = yaml.compose(file, Loader=yaml.SafeLoader)
    except OSError as e:
        raise FaultFileError([f"{path}: {e.strerror or e}"]) from e
    except yaml.YAMLError as e:
        raise FaultFileError([f"{path}: not valid YAML: {e}"]) from e
    if not isinstance(root, yaml.SequenceNode):
        raise FaultFileError([f"{path}:1: must contain a list of faults"])
    reader = _EntryReader(path, targets, random_state)
    faults = []
    for node in root.value:
        read = reader.read(node)
        if read is not None:
            faults.append(read)
    if reader.problems:
        raise FaultFileError(reader.problems)
    return sorted(faults, key=lambda item: item.at_s)


class _EntryReader:
    """Reads the entries of one file and collects their problems."""

    def __init__(self, path, targets, random_state):
        self._path = path
        self._targets = targets
        self._random_state = random_state
        self.problems = []

    def read(self, node):
        """Return the ``Fault`` of an entry, or None if it has a problem."""
        line = node.start_mark.line + 1
        known_problems = len(self.problems)
        if not isinstance(node, yaml.MappingNode):
            self._add(line, "must be a mapping")
            return None
        entry, lines = self._read_keys(node)
        kind = fault.KINDS.get(entry.get("kind"))
        if kind is None:
            known = ", ".join(sorted(fault.KINDS))
            self._add(
                lines.get("kind", line), f"unknown kind {entry.get('kind')!r}; one of {known}"
            )
            return None
        at_s = self._read_time(entry, lines, "at_s", line)
        for_s = 0.0
        if kind.needs_duration:
            for_s = self._read_time(entry, lines, "for_s", line)
        elif "for_s" in entry:
            self._add(lines["for_s"], f"{entry['kind']} has no duration")
        value = self._read_value(entry, lines, kind, line)
        targets = self._read_targets(entry, lines, kind, line)
        if len(self.problems) > known_problems:
            return None
        return fault.Fault(line, at_s, entry["kind"], targets, for_s, value)

    def _add(self, line, problem):
        self.problems.append(f"{self._path}:{line}: {problem}")

    def _read_keys(self, node):
        """Return the entry as a dict, and the line of each key."""
        entry = {}
        lines = {}
        loader = yaml.SafeLoader("")
        for key_node, value_node in node.value:
            key = key_node.value
            line = key_node.start_mark.line + 1
            if key not in _KEYS:
                self._add(line, f"unknown key {key!r}")
            elif key in entry:
                self._add(line, f"{key} is there twice")
            entry[key] = loader.construct_object(value_node, deep=True)
            lines[key] = line
        if not isinstance(entry.get("kind"), str):
            entry["kind"] = str(entry.get("kind"))
        return entry, lines

    def _read_time(self, entry, lines, key, line):
        value = entry.get(key)
        if not _is_number(value) or value < 0:
            found = "missing" if value is None else f"{value!r}"
            self._add(
                lines.get(key, line), f"{key} must be a number of seconds, 0 or more: {found}"
            )
            return 0.0
        return float(value)

    def _read_value(self, entry, lines, kind, line):
        value = entry.get("value")
        if kind.value_type is None:
            if value is not None:
                self._add(lines["value"], f"{entry['kind']} has no value")
            return None
        if kind.value_type is float:
            is_valid = _is_number(value) and value >= 0
        elif kind.value_type is int:
            is_valid = isinstance(value, int) and not isinstance(value, bool) and value >= 0
        else:
            is_valid = isinstance(value, str) and value != ""
        if not is_valid or (kind.values and value not in kind.values):
            wanted = " or ".join(kind.values) or f"a {kind.value_type.__name__}, not negative"
            self._add(lines.get("value", line), f"value must be {wanted}: {value!r}")
        return value

    def _read_targets(self, entry, lines, kind, line):
        names = entry.get("targets", [])
        if isinstance(names, str):
            names = [names]
        if kind.scope == fault.SITE:
            if "targets" in entry or "share" in entry:
                self._add(line, f"{entry['kind']} concerns the whole site and has no targets")
            return ()
        if not isinstance(names, list) or not names:
            self._add(lines.get("targets", line), "targets are missing")
            return ()
        found = set()
        for name in names:
            resolved = self._targets.resolve(kind.scope, str(name))
            if not resolved:
                self._add(lines["targets"], f"unknown target {name!r} among the {kind.scope}")
            found.update(resolved)
        return self._pick(entry, lines, sorted(found))

    def _pick(self, entry, lines, targets):
        share = entry.get("share", 1.0)
        if not _is_number(share) or not 0 < share <= 1:
            self._add(lines["share"], f"share must be above 0 and at most 1: {share!r}")
            return ()
        if not targets or share == 1:
            return tuple(targets)
        count = max(1, round(share * len(targets)))
        return tuple(sorted(self._random_state.sample(targets, count)))


def _is_number(value):
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return is_number and math.isfinite(value)
