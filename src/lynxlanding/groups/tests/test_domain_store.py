import numpy as np
import pytest

from lynxlanding.errors import groups as groups_errors
from lynxlanding.errors import platform as platform_errors
from lynxlanding.groups import (
    domain,
    domain_store,
    engine_order,
    group_record,
    lease,
    lease_manager,
    lease_rules,
    permit_tracker,
    vm_record,
)
from lynxlanding.store import memory_store


def _domain(vms_by_group):
    vms = {}
    groups = {}
    for name, members in vms_by_group.items():
        for vm in members:
            vms[vm] = vm_record.VmRecord(vm, f"{vm}:1", "place", 8)
        groups[name] = group_record.GroupRecord(
            name, "spec", "m", "v1", ("a",), tuple(members), members[0], 3, "ready", 1.5, {"x": "y"}
        )
    return domain.Domain("d", lease.Lease("node", 4, 2), vms, groups, 7)


def test_stored_domain_is_read_back_unchanged():
    """Guards against fields that are missing in the JSON representation."""
    stored = domain_store.DomainStore(memory_store.MemoryObjectStore())
    written = _domain({"g": ["a", "b"]})
    version = stored.write(written, None)
    assert stored.read("d") == (written, version)


def test_vm_in_two_groups_is_rejected():
    """Guards against writing or reading a domain object with a VM in two groups."""
    store = memory_store.MemoryObjectStore()
    invalid = _domain({"g": ["a", "b"], "h": ["b", "c"]})
    with pytest.raises(groups_errors.InvalidDomain):
        domain_store.DomainStore(store).write(invalid, None)
    store.create("domains", "d", invalid.to_value())
    with pytest.raises(groups_errors.InvalidDomain):
        domain_store.DomainStore(store).read("d")


def test_write_with_outdated_version_is_rejected():
    """Guards against concurrent updates of two controllers that both take effect."""
    stored = domain_store.DomainStore(memory_store.MemoryObjectStore())
    version = stored.write(_domain({"g": ["a"]}), None)
    stored.write(_domain({"g": ["b"]}), version)
    with pytest.raises(platform_errors.VersionConflict):
        stored.write(_domain({"g": ["c"]}), version)


def test_lease_update_with_lost_response_is_confirmed_by_read():
    """Guards against a lease whose validity starts at the read and not before the update."""
    manager = lease_manager.LeaseManager("node/1", lease_rules.LeaseRules())
    manager.observe(lease.Lease(), 0.0)
    requested = manager.next_lease(0.0)
    manager.begin_update(requested, 0.0)
    assert not manager.may_send_order(1.0, checks_fencing_number=True)
    manager.observe(requested, 4.0)
    assert manager.may_send_order(6.9, checks_fencing_number=True)
    assert not manager.may_send_order(7.1, checks_fencing_number=True)


def test_restarted_node_does_not_keep_its_lease():
    """Guards against orders with the term of a previous incarnation."""
    manager = lease_manager.LeaseManager("node/2", lease_rules.LeaseRules())
    manager.observe(lease.Lease("node/1", 3, 0), 0.0)
    assert manager.next_lease(9.0) is None
    assert manager.next_lease(10.0) == lease.Lease("node/2", 4, 0)
    assert not manager.may_send_order(1.0, checks_fencing_number=True)


def test_denied_permit_delays_all_loads_of_the_model():
    """Guards against permit requests before the retry time set by the weight store."""
    tracker = permit_tracker.PermitTracker(np.random.default_rng(1))
    orders = []
    for vm in ("a", "b"):
        orders.append(engine_order.EngineOrder(vm, vm, "g", 1, "m", "v", (), ("a", "b"), 1, True))
    assert tracker.split_by_permit(orders, 0.0) == ([], orders)
    tracker.record_granted(orders[0], 0.0)
    tracker.record_denied(orders[1], 2.0, 0.0)
    assert tracker.split_by_permit(orders, 1.9) == ([orders[0]], [])
    assert tracker.split_by_permit(orders, 3.1) == ([orders[0]], [orders[1]])
