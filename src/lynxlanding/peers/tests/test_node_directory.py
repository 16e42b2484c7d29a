import time

from lynxlanding.peers import (
    directory_schedule,
    node_directory,
    peer_identity,
    peer_report,
    peer_table,
)
from lynxlanding.store import memory_store


def make_directory(store, node_id="n1", incarnation=1, port=1):
    identity = peer_identity.PeerIdentity(node_id, incarnation, f"127.0.0.1:{port}", "a")
    table = peer_table.PeerTable(node_id)
    node_counts = []
    return (
        node_directory.NodeDirectory(store, identity, table, node_counts.append),
        table,
        node_counts,
    )


def test_nodes_discover_each_other_and_restarted_node_replaces_its_entry():
    store = memory_store.MemoryObjectStore()
    first, table, node_counts = make_directory(store)
    first._register()
    second, _, _ = make_directory(store, "n2", port=2)
    second._register()
    first._refresh(may_be_stale=False)
    assert table.target_addresses(0.0) == ["127.0.0.1:2"]
    assert node_counts == [2]
    restarted, _, _ = make_directory(store, "n2", incarnation=5, port=3)
    restarted._register()
    registrations, _ = store.list(node_directory.KIND)
    addresses = {registration.name: registration.value["address"] for registration in registrations}
    assert addresses == {"n1": "127.0.0.1:1", "n2": "127.0.0.1:3"}


def test_stale_registrations_are_deleted(monkeypatch):
    """Guards against a node count that grows with every replaced VM.

    The retry limit is divided by this count, so every node's share of it would shrink.
    """
    store = memory_store.MemoryObjectStore()
    first, _, node_counts = make_directory(store)
    first._register()
    make_directory(store, "n2", port=2)[0]._register()
    first._refresh(may_be_stale=False)
    monkeypatch.setattr(node_directory, "DELETE_AFTER_S", 0.0)
    first._refresh(may_be_stale=False)
    first._refresh(may_be_stale=False)
    assert node_counts[-1] == 1


def test_a_node_registers_again_after_the_store_has_lost_its_entry(monkeypatch):
    """Guards against a retry limit divided by fewer nodes than there are."""
    monkeypatch.setattr(directory_schedule, "REFRESH_INTERVAL_S", 0.01)
    store = memory_store.MemoryObjectStore()
    store.save_copy()
    directory, _, _ = make_directory(store)
    directory.start()
    try:
        wait_for(lambda: store.list(node_directory.KIND)[0])
        store.roll_back()
        assert store.list(node_directory.KIND)[0] == []
        wait_for(lambda: store.list(node_directory.KIND)[0])
    finally:
        directory.stop()


def wait_for(condition):
    end = time.monotonic() + 5.0
    while not condition():
        assert time.monotonic() < end
        time.sleep(0.01)


def test_live_nodes_count_without_a_registration():
    store = memory_store.MemoryObjectStore()
    directory, table, node_counts = make_directory(store)
    table.record_report(peer_report.PeerReport("n2", 1, 1, "127.0.0.1:2", 1, {}), time.monotonic())
    directory._refresh(may_be_stale=False)
    assert node_counts == [2]
