import copy

import pytest

from lynxlanding.configuration import (
    change,
    commit,
    part_cache,
    repository,
    revision_bundle,
    revision_log,
    store_calls,
)
from lynxlanding.errors import configuration as configuration_errors
from lynxlanding.store import memory_store


def _make_logs():
    """Return the logs of a node at revision 3 and of a node at revision 1."""
    store = memory_store.MemoryObjectStore()
    newer, older = (revision_log.RevisionLog(part_cache.PartCache()) for _ in range(2))
    for number in (1, 2, 3):
        puts = {("workspaces", f"w{number}"): {"token_sha256": [f"{number:064x}"]}}
        deletes = (("workspaces", "w1"),) if number == 3 else ()
        submitted = change.Change(f"c{number}", "asha", puts, deletes)
        digest = store_calls.run(commit.commit(submitted, 1.0), store).digest
        newer.append(store_calls.run(repository.load(digest, newer.cache), store))
        if number == 1:
            older.append(store_calls.run(repository.load(digest, older.cache), store))
    return newer, older


def _transfer_bundle(newer, older, corrupt=lambda bundle: None):
    digest = newer.current.digest
    bundle = copy.deepcopy(revision_bundle.build(newer, older.current.digest, digest))
    corrupt(bundle)
    return bundle, revision_bundle.load(bundle, older.current, digest, older.cache)


def test_peer_receives_only_changed_parts():
    """Guards against a transfer whose size grows with the configuration."""
    newer, older = _make_logs()
    bundle, loaded = _transfer_bundle(newer, older)
    assert bundle["manifest"] is None
    assert len(bundle["parts"]) == 2
    assert loaded.snapshot == newer.current.snapshot


def test_new_peer_receives_all_parts():
    """Guards against a starting node that cannot fetch the configuration from a peer."""
    newer, _ = _make_logs()
    _, loaded = _transfer_bundle(newer, revision_log.RevisionLog(part_cache.PartCache()))
    assert loaded.snapshot == newer.current.snapshot


def _drop_part(bundle):
    bundle["parts"].popitem()


def _corrupt_part(bundle):
    next(iter(bundle["parts"].values()))["spec"]["owed_tokens_per_s"] = 7.0


def _drop_revision(bundle):
    del bundle["revisions"][0]


def _corrupt_revision(bundle):
    bundle["revisions"][-1]["author"] = "other"


def _drop_manifest(bundle):
    del bundle["manifest"]


@pytest.mark.parametrize(
    "corrupt", [_drop_part, _corrupt_part, _drop_revision, _corrupt_revision, _drop_manifest]
)
def test_damaged_bundle_has_no_effect(corrupt):
    """Guards against a change that is applied partly."""
    newer, older = _make_logs()
    with pytest.raises(configuration_errors.InvalidObject):
        _transfer_bundle(newer, older, corrupt)
    assert older.current.number == 1
