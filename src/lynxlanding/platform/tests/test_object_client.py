"""Contract tests of ``ObjectStore`` for the platform client and the in-memory fake."""

import socket
import threading
import time

import pytest
import uvicorn

from lynxlanding.errors import platform as platform_errors
from lynxlanding.platform import object_client
from lynxlanding.store import memory_store
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


def test_only_one_of_two_updates_of_the_same_version_succeeds(store):
    created = store.create("k1", "a", {"n": 1})
    updated = store.update("k1", "a", {"n": 2}, created.version)
    assert updated.version > created.version
    with pytest.raises(platform_errors.VersionConflict):
        store.update("k1", "a", {"n": 3}, created.version)
    assert store.get("k1", "a").value == {"n": 2}


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
        client._call("POST", "/k6/a", {"metadata": {"name": "a"}, "spec": 1}, read_timeout_s=0.2)
    assert client.get("k6", "a").value == 1


def test_refused_connection_raises_store_unavailable():
    client = object_client.PlatformObjectStore(f"{HOST}:1")
    with pytest.raises(platform_errors.StoreUnavailable):
        client.update("k", "a", {}, 1)
