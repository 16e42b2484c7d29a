import pytest

from lynxlanding.errors import platform as platform_errors
from lynxlanding.store import memory_store


def test_conditional_update_refuses_old_version():
    """Guards against a fake store that lets two writers both succeed."""
    store = memory_store.MemoryObjectStore()
    created = store.create("claims", "a", {"n": 1})
    store.update("claims", "a", {"n": 2}, created.version)
    with pytest.raises(platform_errors.VersionConflict):
        store.update("claims", "a", {"n": 3}, created.version)


def test_lost_answer_takes_effect():
    """Guards against a fake store that drops the change together with its answer."""
    store = memory_store.MemoryObjectStore()
    store.lose_answers = 1
    with pytest.raises(platform_errors.StoreOutcomeUnknown):
        store.create("claims", "a", {"n": 1})
    assert store.get("claims", "a").value == {"n": 1}
