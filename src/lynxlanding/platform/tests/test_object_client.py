"""Contract tests of ``ObjectStore`` for the platform client and the in-memory fake."""

import socket
import threading
import time

import pytest
import uvicorn

from lynxlanding.errors import platform as platform_errors
from lynxlanding.platform import object_client
from lynxlanding.store import call_counter, era_tracker, memory_store, store_version
from lynxlanding.transport import json_document
from lynxlanding_standins.site import store as site_store

HOST = "127.0.0.1"


class StoreServer:
    """Runs the stand-in for the platform's store in a thread."""

    def __init__(self):
        listener = socket.socket()
        listener.bind((HOST, 0))
        self.port = listener.getsockname()[1]
        self.store = None
        config = uvicorn.Config(self._serve, log_level="error", lifespan="off", interface="asgi3")
        self._server = uvicorn.Server(config)
        self._server.install_signal_handlers = lambda: None
        threading.Thread(
            target=self._server.run, kwargs={"sockets": [listener]}, daemon=True
        ).start()
        start_deadline = time.monotonic() + 10.0
        while not self._server.started and time.monotonic() < start_deadline:
            time.sleep(0.01)

    async def _serve(self, scope, receive, send):
        if self.store is None:
            self.store = site_store.SiteStore()
        await self.store.serve(scope, receive, send)

    def stop(self):
        self._server.should_exit = True


@pytest.fixture(scope="module")
def server():
    store_server = StoreServer()
    yield store_server
    store_server.stop()


@pytest.fixture(params=["memory", "platform"])
def store(request, server):
    if request.param == "memory":
        return memory_store.MemoryObjectStore()
    return object_client.PlatformObjectStore(f"{HOST}:{server.port}")


@pytest.fixture
def outer(store, server):
    """The object that the store's ``save_copy`` and ``roll_back`` are called on."""
    return store if isinstance(store, memory_store.MemoryObjectStore) else server.store


def test_only_one_of_two_updates_of_the_same_version_succeeds(store):
    created = store.create("k1", "a", {"n": 1})
    updated = store.update("k1", "a", {"n": 2}, created.version)
    assert updated.version > created.version
    with pytest.raises(platform_errors.VersionConflict):
        store.update("k1", "a", {"n": 3}, created.version)
    assert store.get("k1", "a").value == {"n": 2}


def test_registration_of_a_node_is_read_as_it_was_written(store):
    """Guards against nodes that do not find each other."""
    value = {"address": "127.0.0.1:9", "incarnation": time.time_ns(), "protocol": 2}
    store.create("lynxlanding-nodes", "n-written", value)
    items, _ = store.list("lynxlanding-nodes")
    assert [item.value for item in items if item.name == "n-written"] == [value]


def test_creating_an_existing_and_reading_a_missing_object_raise(store):
    store.create("k2", "a", {})
    with pytest.raises(platform_errors.ObjectExists):
        store.create("k2", "a", {})
    with pytest.raises(platform_errors.ObjectNotFound):
        store.get("k2", "b")


def test_list_returns_objects_of_all_pages(store):
    for number in range(site_store.PAGE + 7):
        store.create("k3", f"o{number:03d}", {"n": number})
    objects, _ = store.list("k3")
    assert [item.value["n"] for item in objects] == list(range(site_store.PAGE + 7))
    assert len(store.list("k3", may_be_stale=True)[0]) == site_store.PAGE + 7


@pytest.mark.parametrize(
    "page",
    [
        {"items": [], "current_rev": 3},
        {"items": [], "has_more": True, "current_rev": 3},
        {"has_more": False, "current_rev": 3},
    ],
)
def test_list_that_ends_early_is_refused(monkeypatch, page):
    """Guards against a short list, whose missing entries would count as removed."""
    store = object_client.PlatformObjectStore("127.0.0.1:1")
    monkeypatch.setattr(store, "_call", lambda *arguments: (page, 0))
    with pytest.raises(platform_errors.PlatformError):
        store.list("servers")


def make_document(name, spec):
    return {"metadata": {"name": name, "revision": 2}, "spec": spec}


ODD_DOCUMENTS = [
    None,
    {"spec": {}},
    {"metadata": {"name": 5, "revision": 2}},
    {"metadata": {"name": "odd"}},
    {"metadata": {"name": "\ud800", "revision": 2}},
    {"metadata": {"name": "odd", "revision": json_document.UNREADABLE}},
]


@pytest.mark.parametrize("odd", ODD_DOCUMENTS)
def test_object_that_cannot_be_named_leaves_the_others(monkeypatch, odd):
    """Guards against a list or a watch that is lost with one of its objects."""
    store = object_client.PlatformObjectStore("127.0.0.1:1")
    sound = make_document("sound", {"a": 1})
    page = {"items": [odd, sound], "has_more": False, "current_rev": 3}
    monkeypatch.setattr(store, "_call", lambda *arguments, **options: (page, 0))
    items, version = store.list("servers")
    assert [(item.name, item.value) for item in items] == [("sound", {"a": 1})]
    events = [{"object": odd}, {"object": sound}, {"tombstone": True}, None, {"object": [odd]}]
    events.append({"object": make_document("other", {}), "tombstone": "yes"})
    monkeypatch.setattr(
        store, "_call", lambda *arguments, **options: ({"events": events, "current_rev": 4}, 0)
    )
    batch = store.watch("servers", version, 1.0)
    assert [item.name for item in batch.puts] == ["sound"]


def test_list_goes_on_after_a_name_of_any_characters(monkeypatch):
    """Guards against a list that ends at an entry of another writer."""
    store = object_client.PlatformObjectStore("127.0.0.1:1")
    odd_name = "a&b c\r\n\u00fc"
    pages = [
        {"items": [make_document(odd_name, {})], "has_more": True, "current_rev": 3},
        {"items": [make_document("sound", {})], "has_more": False, "current_rev": 3},
    ]
    paths = []

    def call(operation, kind, path):
        paths.append(f"/{kind}{path}")
        return pages[len(paths) - 1], 0

    monkeypatch.setattr(store, "_call", call)
    items, _ = store.list("servers")
    assert [item.name for item in items] == [odd_name, "sound"]
    assert paths[1] == "/servers?since_rev=a%26b%20c%0D%0A%C3%BC"


def test_value_that_cannot_be_read_is_left_out(monkeypatch):
    """Guards against values that no node can pass on to others."""
    store = object_client.PlatformObjectStore("127.0.0.1:1")
    odd = make_document("odd", {"slots": json_document.UNREADABLE})
    monkeypatch.setattr(store, "_call", lambda *arguments, **options: (odd, 0))
    assert store.get("servers", "odd").value is None


def test_watch_returns_puts_and_deletes_since_a_version(store):
    first = store.create("k4", "a", {"n": 1})
    _, version = store.list("k4")
    store.update("k4", "a", {"n": 2}, first.version)
    second = store.create("k4", "b", {})
    store.delete("k4", "b", second.version)
    batch = store.watch("k4", version, 1.0)
    assert [item.value for item in batch.puts if item.name == "a"] == [{"n": 2}]
    assert batch.deletes[-1] == "b"
    assert batch.version >= second.version


def test_call_refused_by_a_busy_store_changes_nothing(server):
    client = object_client.PlatformObjectStore(f"{HOST}:{server.port}")
    client.create("k5", "a", {"n": 1})
    server.store.fault = "busy"
    with pytest.raises(platform_errors.StoreUnavailable):
        client.create("k5", "b", {})
    server.store.fault = ""
    assert len(client.list("k5")[0]) == 1


def test_change_without_a_response_has_an_unknown_outcome(server, monkeypatch):
    """Guards against reporting a change as failed although it took effect."""
    monkeypatch.setattr(object_client, "READ_TIMEOUT_S", 0.2)
    client = object_client.PlatformObjectStore(f"{HOST}:{server.port}")
    client.create("k6", "z", {})
    server.store.lost_answers = 1
    with pytest.raises(platform_errors.StoreOutcomeUnknown):
        client._call(
            "create", "k6", "/a", {"metadata": {"name": "a"}, "spec": 1}, read_timeout_s=0.2
        )
    assert client.get("k6", "a").value == 1


def test_refused_connection_raises_store_unavailable():
    client = object_client.PlatformObjectStore(f"{HOST}:1")
    with pytest.raises(platform_errors.StoreUnavailable):
        client.update("k", "a", {}, store_version.StoreVersion(0, 1))


def test_an_update_of_an_earlier_era_is_refused(store, outer):
    """Guards against a condition that a revision given out twice happens to meet."""
    first = store.create("k7", "a", {"n": 1})
    outer.save_copy()
    second = store.update("k7", "a", {"n": 2}, first.version)
    outer.roll_back()
    rewritten = store.update("k7", "a", {"n": 3}, store.get("k7", "a").version)
    assert rewritten.version.revision == second.version.revision
    with pytest.raises(platform_errors.StoreRolledBack):
        store.update("k7", "a", {"n": 4}, second.version)
    assert store.get("k7", "a").value == {"n": 3}


def test_a_watch_from_an_earlier_era_is_refused(store, outer):
    """Guards against changes that a watch misses because its revision exists again."""
    store.create("k8", "a", {})
    outer.save_copy()
    store.create("k8", "b", {})
    _, version = store.list("k8")
    outer.roll_back()
    store.create("k8", "c", {})
    with pytest.raises((platform_errors.StoreRolledBack, platform_errors.WatchExpired)):
        store.watch("k8", version, 0.2)
    with pytest.raises(platform_errors.StoreRolledBack):
        store.watch("k8", version, 0.2)
    assert sorted(item.name for item in store.list("k8")[0]) == ["a", "c"]


def test_versions_of_two_eras_cannot_be_compared():
    with pytest.raises(platform_errors.StoreRolledBack):
        assert store_version.StoreVersion(1, 5) < store_version.StoreVersion(2, 3)


def test_a_response_sent_before_the_present_era_is_discarded():
    """Guards against a late response whose contents the store has lost."""
    eras = era_tracker.EraTracker()
    eras.record(1, None)
    era_at_call = eras.current
    eras.record(2, 1)
    with pytest.raises(platform_errors.StoreRolledBack):
        eras.record(1, era_at_call)
    assert eras.current == 2


def test_an_era_that_goes_back_or_is_missing_is_handled():
    eras = era_tracker.EraTracker()
    eras.record(None, None)
    assert eras.current == era_tracker.UNSTATED_ERA
    eras.record(5, eras.current)
    eras.record(None, eras.current)
    assert eras.current == 5
    eras.record(3, eras.current)
    assert eras.current == 3


def test_writes_before_a_deletion_do_not_count(server):
    """Guards against an endpoint that leaves and is removed within one batch, yet stays."""
    client = object_client.PlatformObjectStore(f"{HOST}:{server.port}")
    first = client.create("k9", "a", {"n": 1})
    _, version = client.list("k9")
    second = client.update("k9", "a", {"n": 2}, first.version)
    client.delete("k9", "a", second.version)
    batch = client.watch("k9", version, 0.2)
    assert (batch.puts, batch.deletes) == ([], ["a"])
    client.create("k9", "a", {"n": 3})
    batch = client.watch("k9", version, 0.2)
    assert [item.value for item in batch.puts] == [{"n": 3}]
    assert batch.deletes == ["a"]


def test_the_client_knows_whether_the_store_answers(server):
    client = object_client.PlatformObjectStore(f"{HOST}:{server.port}")
    server.store.fault = "busy"
    with pytest.raises(platform_errors.StoreUnavailable):
        client.list("k10")
    assert client.is_unavailable
    server.store.fault = ""
    with pytest.raises(platform_errors.ObjectNotFound):
        client.get("k10", "missing")
    assert not client.is_unavailable


def test_a_watch_returns_every_write_since_the_last_deletion(store):
    """Guards against an announcement that a later write of the same object hides."""
    created = store.create("k10", "a", {"n": 1})
    after = created.version
    updated = store.update("k10", "a", {"n": 2}, created.version)
    store.update("k10", "a", {"n": 3}, updated.version)
    batch = store.watch("k10", after, 1.0)
    assert [item.value["n"] for item in batch.puts] == [2, 3]
    assert batch.deletes == []


def test_a_watch_puts_the_deletion_of_an_object_before_its_next_creation(store):
    """Guards against a deletion that goes unseen because the object exists again."""
    created = store.create("k11", "a", {"n": 1})
    after = created.version
    updated = store.update("k11", "a", {"n": 2}, created.version)
    store.delete("k11", "a", updated.version)
    again = store.create("k11", "a", {"n": 3})
    batch = store.watch("k11", after, 1.0)
    assert batch.deletes == ["a"]
    assert [item.value["n"] for item in batch.puts] == [3]
    store.delete("k11", "a", again.version)
    batch = store.watch("k11", after, 1.0)
    assert (batch.puts, batch.deletes) == ([], ["a"])


def test_every_call_is_counted_with_its_outcome(server):
    """Guards against calls that are charged but do not show, such as refused ones and pages."""
    counter = call_counter.CallCounter()
    client = object_client.PlatformObjectStore(f"{HOST}:{server.port}", counter)
    for number in range(51):
        client.create("k-counted", f"n{number:02}", number)
    with pytest.raises(platform_errors.ObjectExists):
        client.create("k-counted", "n00", 0)
    _, version = client.list("k-counted", may_be_stale=True)
    client.watch("k-counted", version, 0.01)
    server.store.fault = "busy"
    try:
        with pytest.raises(platform_errors.StoreUnavailable):
            client.list("k-counted")
    finally:
        server.store.fault = ""
    caller = threading.current_thread().name
    assert counter.counts() == {
        call_counter.CallKey("k-counted", "create", "ok", caller): 51,
        call_counter.CallKey("k-counted", "create", "object_exists", caller): 1,
        call_counter.CallKey("k-counted", "stale_list", "ok", caller): 2,
        call_counter.CallKey("k-counted", "watch", "ok", caller): 1,
        call_counter.CallKey("k-counted", "list", "store_unavailable", caller): 1,
    }
