import pytest

from lynxlanding.errors import platform as platform_errors
from lynxlanding.store import memory_store


def test_conditional_update_rejects_stale_version():
    """Guards against an in-memory store in which two conflicting updates both succeed."""
    store = memory_store.MemoryObjectStore()
    created = store.create("claims", "a", {"n": 1})
    store.update("claims", "a", {"n": 2}, created.version)
    with pytest.raises(platform_errors.VersionConflict):
        store.update("claims", "a", {"n": 3}, created.version)


def test_change_with_lost_response_takes_effect():
    """Guards against an in-memory store that discards a change when its response is lost."""
    store = memory_store.MemoryObjectStore()
    store.responses_to_lose = 1
    with pytest.raises(platform_errors.StoreOutcomeUnknown):
        store.create("claims", "a", {"n": 1})
    assert store.get("claims", "a").value == {"n": 1}
