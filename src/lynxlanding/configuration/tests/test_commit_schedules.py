import pytest

from lynxlanding.configuration import commit, history, store_calls
from lynxlanding.configuration.tests import commit_schedules
from lynxlanding.errors import platform as platform_errors
from lynxlanding.store import memory_store

SCHEDULES = 1000
DEFECT_SCHEDULES = 30
# A garbage collection concurrent with a commit that reuses a part is rare, so more runs are needed.
RENEWAL_SCHEDULES = 100


class UnconditionalStore(memory_store.MemoryObjectStore):
    """A store whose updates ignore the version."""

    def _check_version(self, kind, name, version):
        pass


def _create_without_renewal(kind, digest, document):
    try:
        yield store_calls.Create(kind, digest, document)
    except (platform_errors.ObjectExists, platform_errors.StoreOutcomeUnknown):
        pass


def _find_no_change(current, change_id):
    del current, change_id
    return None
    yield


def _violations(seeds, store_class=memory_store.MemoryObjectStore):
    failures = []
    for seed in seeds:
        store, operators = commit_schedules.run(seed, store_class())
        violations = commit_schedules.check(store, operators)
        if violations:
            failures.append((seed, violations))
    return failures


def test_changes_are_never_lost_reverted_or_partly_applied():
    """Guards against lost, reverted or partly applied changes.

    Operators run concurrently, with lost responses, outages, crashes and garbage collections.
    """
    assert _violations(range(SCHEDULES)) == []


def test_schedules_detect_unconditional_updates():
    """Guards against schedules that lose no change even if updates are unconditional."""
    assert _violations(range(DEFECT_SCHEDULES), UnconditionalStore)


def test_schedules_detect_missing_change_id_lookup(monkeypatch):
    """Guards against schedules that never resubmit a change whose response was lost."""
    monkeypatch.setattr(history, "find_change", _find_no_change)
    assert _violations(range(DEFECT_SCHEDULES))


def test_schedules_detect_missing_part_renewal(monkeypatch):
    """Guards against schedules without a collection during a commit that reuses a part."""
    monkeypatch.setattr(commit, "_create_or_renew", _create_without_renewal)
    assert _violations(range(RENEWAL_SCHEDULES))


@pytest.mark.parametrize("seed", [3, 17])
def test_schedules_are_reproducible(seed):
    """Guards against a schedule that cannot be run again from its seed."""
    first, _ = commit_schedules.run(seed)
    second, _ = commit_schedules.run(seed)
    assert first.list("config-head") == second.list("config-head")
