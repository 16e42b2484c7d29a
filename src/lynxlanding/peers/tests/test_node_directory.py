from lynxlanding.peers import node_directory, node_identity, peer_table
from lynxlanding.store import memory_store


def make(store, name="n1", incarnation=1, port=1):
    identity = node_identity.NodeIdentity(name, incarnation, f"127.0.0.1:{port}", "a")
    table = peer_table.PeerTable(name)
    counts = []
    return node_directory.NodeDirectory(store, identity, table, counts.append), table, counts


def test_nodes_find_each_other_and_a_restarted_node_replaces_its_entry():
    store = memory_store.MemoryObjectStore()
    first, table, counts = make(store)
    first._register()
    second, _, _ = make(store, "n2", port=2)
    second._register()
    first._refresh(may_be_stale=False)
    assert table.targets(0.0) == ["127.0.0.1:2"]
    assert counts == [2]
    again, _, _ = make(store, "n2", incarnation=5, port=3)
    again._register()
    objects, _ = store.list(node_directory.KIND)
    values = {item.name: item.value["address"] for item in objects}
    assert values == {"n1": "127.0.0.1:1", "n2": "127.0.0.1:3"}


def test_entries_of_nodes_that_are_gone_are_deleted(monkeypatch):
    """Guards against a share of the repeats that shrinks with every replaced VM."""
    store = memory_store.MemoryObjectStore()
    first, _, counts = make(store)
    first._register()
    make(store, "n2", port=2)[0]._register()
    first._refresh(may_be_stale=False)
    monkeypatch.setattr(node_directory, "DELETE_AFTER_S", 0.0)
    first._refresh(may_be_stale=False)
    first._refresh(may_be_stale=False)
    assert counts[-1] == 1
