"""Interleaves commits and garbage collections on random schedules, reproducible by seed.

Faults are lost responses, store outages, paused operators and node crashes.
"""

import numpy as np

from lynxlanding.configuration import (
    change,
    change_ids,
    commit,
    encoding,
    garbage,
    part_cache,
    repository,
    store_calls,
    store_layout,
)
from lynxlanding.errors import base as base_errors
from lynxlanding.errors import configuration as configuration_errors
from lynxlanding.errors import platform as platform_errors
from lynxlanding.store import memory_store

NOW = 1_900_000_000.0
TOKEN = "0" * 56


class Operator:
    """Submits changes one after the other and resubmits those of unknown outcome."""

    def __init__(self, index, store, random_state):
        self.index = index
        self.accepted = {}
        self.unknown = {}
        self.refused = set()
        self._store = store
        self._random = random_state
        self._procedure = None
        self._change = None
        self._change_count = 0
        self._paused = 0
        self._cache = part_cache.PartCache()
        self._is_updating_head = False

    def step(self, stopping):
        """Perform one store call; returns whether there is more to do."""
        if self._paused > 0:
            self._paused -= 1
            return True
        if self._procedure is None:
            if stopping and self._change is None:
                return False
            self._start()
        if self._random.random() < 0.02:
            self._paused = int(self._random.integers(5, 40))
        crash_rate = 0.2 if self._is_updating_head else 0.01
        if self._random.random() < crash_rate:
            # The node crashes; the operator resubmits the change id on another node, where other
            # changes of the same objects may have been accepted meanwhile.
            self._procedure, self._is_updating_head = None, False
            self._paused = int(self._random.integers(0, 60))
            self.unknown[self._change.change_id] = self._change
            return True
        self._advance()
        return True

    def _start(self):
        if self._change is None:
            self._change = self._make_change()
        self._procedure = commit.commit(self._change, NOW + self._change_count, self._cache)
        self._call = next(self._procedure)

    def _advance(self):
        is_write = isinstance(self._call, (store_calls.Create, store_calls.Update))
        self._is_updating_head = is_write and self._call.kind == store_layout.HEADS
        try:
            try:
                result = self._call.perform(self._store)
            except platform_errors.PlatformError as e:
                self._call = self._procedure.throw(e)
                return
            self._call = self._procedure.send(result)
            return
        except StopIteration as stop:
            if stop.value.outcome != commit.NO_DIFFERENCE:
                self.accepted[self._change.change_id] = (self._change, stop.value.revision)
        except configuration_errors.CommitOutcomeUnknown:
            self.unknown[self._change.change_id] = self._change
            if self._random.random() < 0.8:
                self._procedure = None
                return
        except platform_errors.PlatformError:
            if self._change.change_id not in self.unknown:
                self.refused.add(self._change.change_id)
        except configuration_errors.ConfigurationError:
            self.refused.add(self._change.change_id)
            if self._change.change_id in self.unknown:
                # Refused now, but an earlier submission of the same id has an unknown outcome, so
                # the change may be in effect.
                self.refused.discard(self._change.change_id)
        self._procedure, self._change = None, None

    def _make_change(self):
        self._change_count += 1
        identity = f"{self.index}-{self._change_count}"
        puts, deletes = {}, []
        for _ in range(int(self._random.integers(1, 4))):
            name = f"w{int(self._random.integers(0, 10))}"
            token = TOKEN[: 64 - 3] + f"{int(name[1:]):03x}"
            owed = (
                float(self._random.integers(0, 1000)) + self._change_count / 1000 + self.index / 10
            )
            puts[("workspaces", name)] = {
                "token_sha256": [token.rjust(64, "0")],
                "owed_tokens_per_s": owed,
            }
        if self._random.random() < 0.2:
            name = f"w{int(self._random.integers(0, 10))}"
            if ("workspaces", name) not in puts:
                deletes.append(("workspaces", name))
        return change.Change(
            change_ids.generate(NOW + self._change_count, self._random),
            f"operator-{self.index}",
            puts,
            tuple(deletes),
            (f"change {identity}",),
        )


class GarbageCollector:
    """Runs garbage collections that retain only the manifest of the head."""

    def __init__(self, store):
        self._store = store
        self._procedure = None

    def step(self):
        """Perform one store call."""
        if self._procedure is None:
            self._procedure = garbage.collect(kept_manifests=1, kept_revisions=10_000)
            self._call = next(self._procedure)
        try:
            try:
                result = self._call.perform(self._store)
            except platform_errors.PlatformError as e:
                self._call = self._procedure.throw(e)
                return
            self._call = self._procedure.send(result)
        except (StopIteration, base_errors.LynxlandingError):
            self._procedure = None


def run(seed, store=None, steps=110):
    """Run one schedule; returns the store, with all faults ended, and the operators."""
    random_state = np.random.default_rng(seed)
    store = memory_store.MemoryObjectStore() if store is None else store
    operators = []
    for index in range(int(random_state.integers(2, 4))):
        operators.append(Operator(index, store, random_state))
    garbage_collector = GarbageCollector(store) if random_state.random() < 0.7 else None
    response_loss_rate = random_state.choice([0.0, 0.02, 0.1])
    outage = 0
    for _ in range(steps):
        if outage > 0:
            outage -= 1
        elif random_state.random() < 0.01:
            outage = int(random_state.integers(2, 20))
        store.unavailable = outage > 0
        if not store.unavailable and random_state.random() < response_loss_rate:
            store.responses_to_lose = 1
        if garbage_collector is not None and random_state.random() < 0.2:
            garbage_collector.step()
            continue
        operators[int(random_state.integers(len(operators)))].step(stopping=False)
    store.unavailable, store.responses_to_lose = False, 0
    running = list(operators)
    for _ in range(5000):
        if not running:
            break
        operator = running[int(random_state.integers(len(running)))]
        if not operator.step(stopping=True):
            running.remove(operator)
    return store, operators


def check(store, operators):
    """Return the violations of a finished run: lost, reverted or partly applied changes."""
    violations = []
    current, _ = store_calls.run(repository.read_head(), store)
    chain = []
    digest = current.digest
    while digest:
        try:
            revision = store_calls.run(repository.read_revision(digest), store)
        except platform_errors.ObjectNotFound:
            return [f"revision {digest} of the chain is missing"]
        chain.append(revision)
        digest = revision.parent
    chain.reverse()
    if [revision.number for revision in chain] != list(range(1, current.number + 1)):
        violations.append("revision numbers are not consecutive")
    try:
        snapshot = store_calls.run(repository.load(current.digest), store).snapshot
    except (platform_errors.ObjectNotFound, configuration_errors.InvalidObject) as e:
        return [*violations, f"the head cannot be loaded: {e}"]
    change_by_id = {}
    for operator in operators:
        for change_id, (submitted, number) in operator.accepted.items():
            change_by_id[change_id] = submitted
            if number > len(chain) or chain[number - 1].change_id != change_id:
                violations.append(f"accepted change {change_id} is not revision {number}")
        change_by_id.update(operator.unknown)
        for change_id in operator.refused:
            if any(revision.change_id == change_id for revision in chain):
                violations.append(f"refused change {change_id} is in effect")
    expected = {}
    seen = set()
    for revision in chain:
        if revision.change_id in seen:
            violations.append(f"change {revision.change_id} is in effect twice")
        seen.add(revision.change_id)
        submitted = change_by_id.get(revision.change_id)
        if submitted is None:
            violations.append(f"revision {revision.number} belongs to no submitted change")
            continue
        for (kind, name), document in submitted.puts.items():
            expected[encoding.key(kind, name)] = document["owed_tokens_per_s"]
        for kind, name in submitted.deletes:
            expected.pop(encoding.key(kind, name), None)
    actual = {}
    for name, spec in snapshot.of_kind("workspaces").items():
        actual[f"workspaces/{name}"] = spec.owed_tokens_per_s
    if actual != expected:
        violations.append("the head is not the sequence of accepted changes")
    return violations
