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


def _logs():
    """Return the logs of a node at revision 3 and of a node at revision 1."""
    store = memory_store.MemoryObjectStore()
    ahead, behind = (revision_log.RevisionLog(part_cache.PartCache()) for _ in range(2))
    for number in (1, 2, 3):
        puts = {("workspaces", f"w{number}"): {"token_sha256": [f"{number:064x}"]}}
        deletes = (("workspaces", "w1"),) if number == 3 else ()
        submitted = change.Change(f"c{number}", "asha", puts, deletes)
        digest = store_calls.run(commit.commit(submitted, 1.0), store).digest
        ahead.append(store_calls.run(repository.load(digest, ahead.cache), store))
        if number == 1:
            behind.append(store_calls.run(repository.load(digest, behind.cache), store))
    return ahead, behind


def _transfer_bundle(ahead, behind, corrupt=lambda bundle: None):
    digest = ahead.current.digest
    bundle = copy.deepcopy(revision_bundle.build(ahead, behind.current.digest, digest))
    corrupt(bundle)
    return bundle, revision_bundle.load(bundle, behind.current, digest, behind.cache)


def test_peer_receives_only_what_changed():
    """Guards against a transfer whose size grows with the configuration."""
    ahead, behind = _logs()
    bundle, loaded = _transfer_bundle(ahead, behind)
    assert bundle["manifest"] is None
    assert len(bundle["parts"]) == 2
    assert loaded.snapshot == ahead.current.snapshot


def test_new_peer_receives_everything():
    """Guards against a starting node that cannot fetch the configuration from a peer."""
    ahead, _ = _logs()
    _, loaded = _transfer_bundle(ahead, revision_log.RevisionLog(part_cache.PartCache()))
    assert loaded.snapshot == ahead.current.snapshot


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
    ahead, behind = _logs()
    with pytest.raises(configuration_errors.InvalidObject):
        _transfer_bundle(ahead, behind, corrupt)
    assert behind.current.number == 1
