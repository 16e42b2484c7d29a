import threading

from lynxlanding.errors import platform as platform_errors
from lynxlanding.node import store_follower
from lynxlanding.store import stored_object, watch_batch


class Store:
    """Plays scripted answers; an exception is raised, None ends the run."""

    def __init__(self, *script):
        self._script = list(script)
        self.calls = []
        self.follower = None
        self.done = threading.Event()

    def list(self, kind):
        return self._next(("list", kind))

    def watch(self, kind, after, timeout_s):
        return self._next(("watch", after, timeout_s))

    def _next(self, call):
        self.calls.append(call)
        if not self._script:
            self.follower.stop()
            self.done.set()
            raise platform_errors.StoreUnavailable("the script has ended")
        answer = self._script.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


class Handler:
    def __init__(self):
        self.events = []

    def on_list(self, objects, version, now, was_outage):
        self.events.append(("list", [item.name for item in objects], version, was_outage))

    def on_changes(self, puts, deletes, now, was_outage):
        self.events.append(("changes", [item.name for item in puts], deletes, was_outage))

    def on_lost(self):
        self.events.append(("lost",))


def item(name):
    return stored_object.StoredObject("servers", name, 1, {})


def follow(monkeypatch, *script):
    monkeypatch.setattr(store_follower, "RETRY_PAUSE_S", 0.01)
    store = Store(*script)
    handler = Handler()
    follower = store_follower.StoreFollower(store, "servers", handler)
    store.follower = follower
    follower.start()
    assert store.done.wait(5.0)
    return store, handler


def test_lists_once_and_watches_from_the_version_reached(monkeypatch):
    store, handler = follow(
        monkeypatch,
        ([item("a")], 7),
        watch_batch.WatchBatch([item("b")], ["a"], 9),
        watch_batch.WatchBatch([], [], 9),
    )
    assert store.calls[:3] == [
        ("list", "servers"),
        ("watch", 7, store_follower.WATCH_S),
        ("watch", 9, store_follower.WATCH_S),
    ]
    assert handler.events[:2] == [("list", ["a"], 7, False), ("changes", ["b"], ["a"], False)]


def test_a_lost_history_is_listed_again(monkeypatch):
    """Guards against changes that are missed when the store drops its history."""
    store, handler = follow(
        monkeypatch, ([item("a")], 7), platform_errors.WatchExpired("gone"), ([item("c")], 20)
    )
    assert [call[0] for call in store.calls[:3]] == ["list", "watch", "list"]
    assert handler.events[1] == ("list", ["c"], 20, False)


def test_watches_are_short_while_the_store_is_away(monkeypatch):
    """Guards against a watch that hangs for seconds after the store has returned."""
    store, handler = follow(
        monkeypatch,
        ([item("a")], 7),
        platform_errors.StoreUnavailable("silent"),
        platform_errors.StoreUnavailable("silent"),
        watch_batch.WatchBatch([], [], 8),
    )
    assert store.calls[2] == ("watch", 7, store_follower.SHORT_WATCH_S)
    assert handler.events.count(("lost",)) >= 1
    assert handler.events[1] == ("lost",)
    assert store.calls[4] == ("watch", 8, store_follower.WATCH_S)
