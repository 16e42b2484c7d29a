import random
import threading
import time

from lynxlanding.errors import platform as platform_errors
from lynxlanding.node import store_watcher
from lynxlanding.peers import feed_message, feed_roles, store_access
from lynxlanding.store import stored_object, watch_batch


class ScriptedStore:
    """Returns or raises the items of a script in order and then stops the watcher."""

    def __init__(self, *script):
        self._script = list(script)
        self.calls = []
        self.watcher = None
        self.done = threading.Event()

    def list(self, kind):
        return self._next(("list", kind))

    def watch(self, kind, after, timeout_s):
        return self._next(("watch", after, timeout_s))

    def _next(self, call):
        self.calls.append(call)
        if not self._script:
            self.watcher.stop()
            self.done.set()
            raise platform_errors.StoreUnavailable("the script has ended")
        response = self._script.pop(0)
        if isinstance(response, Exception):
            raise response
        return response


class RecordingHandler:
    def __init__(self):
        self.events = []
        self.versions = []

    def on_list(self, objects, version, now, was_outage):
        self.events.append(("list", [stored.name for stored in objects], version, was_outage))

    def on_changes(self, puts, deletes, version, now, was_outage):
        self.versions.append(version)
        self.events.append(("changes", [stored.name for stored in puts], deletes, was_outage))

    def on_store_rolled_back(self):
        self.events.append(("rolled back",))

    def on_store_unavailable(self):
        self.events.append(("lost",))


def make_stored(name):
    return stored_object.StoredObject("servers", name, 1, {})


def run_watcher(monkeypatch, *script):
    monkeypatch.setattr(store_watcher, "RETRY_PAUSE_S", 0.01)
    store = ScriptedStore(*script)
    handler = RecordingHandler()
    watcher = store_watcher.StoreWatcher(store, "servers", handler)
    store.watcher = watcher
    watcher.start()
    assert store.done.wait(5.0)
    return store, handler


def test_lists_once_and_then_watches_from_the_last_version(monkeypatch):
    store, handler = run_watcher(
        monkeypatch,
        ([make_stored("a")], 7),
        watch_batch.WatchBatch([make_stored("b")], ["a"], 9),
        watch_batch.WatchBatch([], [], 9),
    )
    assert store.calls[:3] == [
        ("list", "servers"),
        ("watch", 7, store_watcher.WATCH_TIMEOUT_S),
        ("watch", 9, store_watcher.WATCH_TIMEOUT_S),
    ]
    assert handler.events[:2] == [("list", ["a"], 7, False), ("changes", ["b"], ["a"], False)]
    assert handler.versions[:2] == [9, 9]


def test_lists_again_after_the_history_has_expired(monkeypatch):
    """Changes must not be missed when the store discards its history."""
    store, handler = run_watcher(
        monkeypatch,
        ([make_stored("a")], 7),
        platform_errors.WatchExpired("gone"),
        ([make_stored("c")], 20),
    )
    assert [call[0] for call in store.calls[:3]] == ["list", "watch", "list"]
    assert handler.events[1] == ("list", ["c"], 20, False)


def test_watches_are_short_while_the_store_is_unavailable(monkeypatch):
    """A long watch would delay the detection of the store's recovery by seconds."""
    store, handler = run_watcher(
        monkeypatch,
        ([make_stored("a")], 7),
        platform_errors.StoreUnavailable("silent"),
        platform_errors.StoreUnavailable("silent"),
        watch_batch.WatchBatch([], [], 8),
    )
    assert store.calls[2] == ("watch", 7, store_watcher.RECOVERY_WATCH_TIMEOUT_S)
    assert handler.events.count(("lost",)) >= 1
    assert handler.events[1] == ("lost",)
    assert store.calls[4] == ("watch", 8, store_watcher.WATCH_TIMEOUT_S)


def test_lists_again_after_the_store_was_rolled_back(monkeypatch):
    """Guards against a node that follows a store whose revisions it cannot compare."""
    store, handler = run_watcher(
        monkeypatch,
        ([make_stored("a")], 7),
        platform_errors.StoreRolledBack("era 1 has ended"),
        ([make_stored("a")], 5),
    )
    assert [call[0] for call in store.calls[:3]] == ["list", "watch", "list"]
    assert handler.events[1:3] == [("rolled back",), ("list", ["a"], 5, False)]


class ScriptedFeed:
    """Returns the messages of a script; None once it has ended."""

    def __init__(self, *messages):
        self._messages = list(messages)
        self.published = []
        # Version of what came as a copy.
        self.copied = None
        self.has_subscribers = False
        self.waited_s = []

    def watch(self, kind, after, timeout_s):
        self.waited_s.append(timeout_s)
        return self._messages.pop(0) if self._messages else None

    def skip_copied(self, kind, after):
        del kind
        return after if self.copied is None else max(self.copied, after)

    def publish(self, kind, after, batch, *, was_outage):
        self.published.append((after, batch.version))


def test_the_store_is_not_read_while_another_node_passes_changes_on(monkeypatch):
    """Pattern: many nodes, each of which would call the store for every change."""
    messages = [
        feed_message.FeedMessage("servers", 7, 8, (make_stored("b"),), ()),
        feed_message.FeedMessage("servers", 8, 9, (), ("a",)),
    ]
    feed = ScriptedFeed(*messages)
    store = ScriptedStore(([make_stored("a")], 7), watch_batch.WatchBatch([], [], 12))
    handler = RecordingHandler()
    watcher = store_watcher.StoreWatcher(store, "servers", handler, feed=feed)
    monkeypatch.setattr(store_watcher, "RETRY_PAUSE_S", 0.01)
    store.watcher = watcher
    watcher.start()
    assert store.done.wait(5.0)
    assert handler.events[1:3] == [("changes", ["b"], (), False), ("changes", [], ("a",), False)]
    assert handler.versions[:3] == [8, 9, 12]
    # After the feed has ended, the first watch is short, since the store may not respond.
    assert store.calls[1] == ("watch", 9, store_watcher.RECOVERY_WATCH_TIMEOUT_S)
    assert feed.published == [(None, 7), (9, 12)]


def test_the_store_is_read_from_the_version_of_a_copy():
    """Guards against answers of the store that are too large to read, each time."""
    feed = ScriptedFeed()
    store = ScriptedStore(([make_stored("a")], 7), watch_batch.WatchBatch([], [], 9))
    feed.copied = 8
    watcher = store_watcher.StoreWatcher(store, "servers", RecordingHandler(), feed=feed)
    store.watcher = watcher
    watcher.start()
    assert store.done.wait(5.0)
    assert store.calls[1][:2] == ("watch", 8)


def test_watches_of_a_relay_are_short(monkeypatch):
    """Pattern: the connection of a relay to the store goes silent.

    Its subscribers must notice it in time to follow a configuration within 2 s.
    """
    feed = ScriptedFeed()
    feed.has_subscribers = True
    empty = watch_batch.WatchBatch([], [], 7)
    store = ScriptedStore(([make_stored("a")], 7), empty, empty)
    watcher = store_watcher.StoreWatcher(store, "servers", RecordingHandler(), feed=feed)
    store.watcher = watcher
    watcher.start()
    assert store.done.wait(5.0)
    assert store.calls[1:3] == [("watch", 7, store_watcher.RELAY_WATCH_TIMEOUT_S)] * 2
    assert feed.published == [(None, 7), (7, 7), (7, 7)]


NODES = [f"n{number}" for number in range(128)]
RELAYS = feed_roles.choose_relays(NODES, NODES)


class WaitingFeed(ScriptedFeed):
    """A feed that has nothing until ``wait_for_message`` has been called some times."""

    def __init__(self, waits, *messages):
        super().__init__()
        self.waits = waits
        self.timeouts = []
        self._later = list(messages)

    def watch(self, kind, after, timeout_s):
        self.timeouts.append(timeout_s)
        return super().watch(kind, after, timeout_s)

    def wait_for_message(self, kind, timeout_s):
        self.waits -= 1
        if self.waits == 0:
            self._messages = self._later


def run_in_large_fleet(node_id, feed, *script):
    access = store_access.StoreAccess(node_id, random.Random(1))
    access.use_fleet(NODES, NODES)
    store = ScriptedStore(*script)
    handler = RecordingHandler()
    store.watcher = store_watcher.StoreWatcher(store, "servers", handler, feed=feed, access=access)
    store.watcher.start()
    assert store.done.wait(5.0)
    return store, handler


def test_a_node_whose_relay_waits_for_the_store_does_not_call_it():
    """Pattern: the store is down, and every node calls it five times a second.

    The node must not take what it knows for confirmed meanwhile.
    """
    access = store_access.StoreAccess("other", random.Random(1))
    access.use_fleet([*NODES, "other"], [*NODES, "other"])
    message = feed_message.FeedMessage("servers", 7, 8, (make_stored("b"),), (), was_outage=True)
    feed = WaitingFeed(3, message)
    store = ScriptedStore(([make_stored("a")], 7))
    handler = RecordingHandler()
    watcher = store_watcher.StoreWatcher(store, "servers", handler, feed=feed, access=access)
    store.watcher = watcher
    version = watcher._sync(None)
    access.record_waiting_relay(["servers"], time.monotonic())
    for _ in range(4):
        version = watcher._sync(version)
    assert version == 8
    assert [call[0] for call in store.calls] == ["list"]
    assert handler.events[1:] == [("lost",), ("changes", ["b"], (), True)]
    # A relay that has no changes is heard at once; the registry was unconfirmed for 2.5 s more.
    assert feed.timeouts == [store_watcher.WATCH_TIMEOUT_S, 0.0, 0.0, 0.0]


def test_a_relay_probes_a_store_that_is_down_with_growing_pauses():
    """Pattern: a relay calls a store that is down five times a second for each kind."""
    feed = WaitingFeed(-1)
    store, handler = run_in_large_fleet(
        RELAYS[0],
        feed,
        ([make_stored("a")], 7),
        platform_errors.StoreUnavailable("down"),
        platform_errors.StoreUnavailable("down"),
        watch_batch.WatchBatch([], [], 9),
    )
    assert store.calls[1] == ("watch", 7, store_watcher.WATCH_TIMEOUT_S)
    # The probes do not wait for changes, so that subscribers hear at once that it is back.
    assert store.calls[2:4] == [("watch", 7, store_watcher.PROBE_WATCH_TIMEOUT_S)] * 2
    assert feed.waits < -5
    assert feed.published == [(None, 7), (7, 9)]


def test_pauses_that_batch_changes_do_not_delay_the_recovery():
    """Pattern: the store is back, and a relay pauses after a call that it has not made."""
    access = store_access.StoreAccess(RELAYS[0], random.Random(1))
    access.use_fleet(NODES, NODES)
    store = ScriptedStore(([make_stored("a")], 7), platform_errors.StoreUnavailable("down"))
    feed = WaitingFeed(-1)
    pauses = []
    watcher = store_watcher.StoreWatcher(
        store, "servers", RecordingHandler(), lambda: pauses.append(0) or 0.0, feed, access
    )
    store.watcher = watcher
    watcher.start()
    assert store.done.wait(5.0)
    # Only after the list; the watches have failed.
    assert pauses == [0]
    assert feed.waits < -2


def test_watch_times_can_be_those_of_a_kind(monkeypatch):
    """Pattern: a kind whose changes may take seconds, read by a relay; each call has a price."""
    monkeypatch.setattr(store_watcher, "RETRY_PAUSE_S", 0.01)
    for has_subscribers, expected in ((False, 2.5), (True, 1.0)):
        feed = ScriptedFeed()
        feed.has_subscribers = has_subscribers
        store = ScriptedStore(([], 7), watch_batch.WatchBatch([], [], 8))
        watcher = store_watcher.StoreWatcher(
            store,
            "evacuations",
            RecordingHandler(),
            feed=feed,
            times=store_watcher.WatchTimes(2.5, 1.0, 5.0),
        )
        store.watcher = watcher
        watcher.start()
        assert store.done.wait(5.0)
        assert store.calls[1] == ("watch", 7, expected)
        assert feed.waited_s == [5.0, 5.0]
