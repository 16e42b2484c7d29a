import numpy as np
import pytest

from lynxlanding.configuration import (
    change,
    change_ids,
    commit,
    garbage,
    head,
    history,
    repository,
    store_calls,
)
from lynxlanding.errors import configuration as configuration_errors
from lynxlanding.store import memory_store

NOW = 1_900_000_000.0


def _workspace(index, owed=1.0):
    return {"token_sha256": [f"{index:064x}"], "owed_tokens_per_s": owed}


def _change(change_id, name="north", owed=1.0, **options):
    puts = {("workspaces", name): _workspace(sum(name.encode()), owed)}
    return change.Change(change_id, "asha", puts, **options)


def _commit(store, submitted, now=NOW):
    return store_calls.run(commit.commit(submitted, now), store)


def _snapshot(store):
    current, _ = store_calls.run(repository.read_head(), store)
    return store_calls.run(repository.load(current.digest), store).snapshot


def test_commit_with_lost_response_is_found_in_head():
    """Guards against applying a change twice, or reporting it as failed, after a lost response."""
    store = memory_store.MemoryObjectStore()
    _commit(store, _change("c1"))
    store.responses_to_lose = 4
    result = _commit(store, _change("c2", owed=2.0))
    assert (result.revision, result.outcome) == (2, commit.COMMITTED)
    assert _commit(store, _change("c2", owed=2.0)).outcome == commit.REPEATED
    assert _snapshot(store).of_kind("workspaces")["north"].owed_tokens_per_s == 2.0


def test_unreadable_outcome_is_reported_as_unknown():
    """Guards against reporting failure for a change that took effect before an outage."""
    store = memory_store.MemoryObjectStore()
    procedure = commit.commit(_change("c1"), NOW)
    call = next(procedure)
    with pytest.raises(configuration_errors.CommitOutcomeUnknown):
        while True:
            is_head_update = call.kind == "config-head" and isinstance(call, store_calls.Create)
            store.responses_to_lose = 1 if is_head_update else 0
            try:
                result = call.perform(store)
            except Exception as e:  # noqa: BLE001
                store.unavailable = is_head_update
                call = procedure.throw(e)
                continue
            call = procedure.send(result)
    store.unavailable = False
    assert _commit(store, _change("c1")).outcome == commit.REPEATED


def test_overlapping_change_is_a_conflict():
    """Guards against overwriting a change that the operator has not seen."""
    store = memory_store.MemoryObjectStore()
    _commit(store, _change("c1"))
    _commit(store, _change("c2", owed=2.0))
    with pytest.raises(configuration_errors.RevisionConflict) as raised:
        _commit(store, _change("c3", owed=3.0, base_revision=1))
    assert (raised.value.change_id, raised.value.revision) == ("c2", 2)
    assert _commit(store, _change("c4", "south", base_revision=1)).revision == 3


def test_change_id_is_not_reused_for_other_objects():
    """Guards against reporting an unrelated earlier change as the submitted one."""
    store = memory_store.MemoryObjectStore()
    _commit(store, _change("c1"))
    with pytest.raises(configuration_errors.InvalidObject) as raised:
        _commit(store, _change("c1", owed=9.0))
    assert raised.value.path == "change_id"


def test_repeated_change_is_found_in_history(monkeypatch):
    """Guards against applying a change twice when many others came between its submissions."""
    monkeypatch.setattr(head, "KEPT_CHANGES", 3)
    store = memory_store.MemoryObjectStore()
    change_id = change_ids.generate(NOW, np.random.default_rng(1))
    _commit(store, _change(change_id))
    for serial in range(6):
        _commit(store, _change(f"later-{serial}", owed=2.0 + serial), NOW + serial)
    result = _commit(store, _change(change_id), NOW + 100)
    assert (result.revision, result.outcome) == (1, commit.REPEATED)


def test_garbage_collection_keeps_head_and_history():
    """Guards against orphans that fill the store and against the deletion of used parts."""
    store = memory_store.MemoryObjectStore()
    for serial in range(5):
        _commit(store, _change(f"c{serial}", owed=2.0 + serial))
    result = store_calls.run(garbage.collect(kept_manifests=1), store)
    # Four earlier versions of the object and four earlier manifests.
    assert result.deleted == 8
    assert _snapshot(store).revision == 5
    listed = store_calls.run(history.read(limit=3), store)
    assert [(entry.number, entry.author) for entry in listed] == [
        (5, "asha"),
        (4, "asha"),
        (3, "asha"),
    ]
