"""Tests of the versions up to which the registry is complete."""

from lynxlanding.dispatch import serving_actor
from lynxlanding.dispatch.tests import dispatch_factories
from lynxlanding.fleet import fleet_snapshot
from lynxlanding.store import store_version


def make_version(revision, era=0):
    return store_version.StoreVersion(era, revision)


def test_the_registry_names_the_version_of_the_latest_list_or_changes():
    """Guards against domains that are planned no more, or by older registrations than it seems."""
    dispatcher, registry = dispatch_factories.make_dispatcher([])
    gate = dispatch_factories.make_statement_gate()
    reference = serving_actor.ServingActor.start(registry, dispatcher, gate)
    serving = reference.proxy()
    try:
        serving.apply_list([], make_version(7), 1.0, False).get()
        assert serving.fleet_snapshot().get().version == make_version(7)
        serving.apply_changes([], [], make_version(9), 2.0, False).get()
        fleet = serving.fleet_snapshot().get()
    finally:
        reference.stop()
    assert fleet.version == make_version(9)
    assert fleet.read_at == 2.0


def test_records_cover_their_own_version_and_earlier_ones_of_the_same_era():
    """Guards against plans that are compared with registrations of another era."""
    fleet = fleet_snapshot.FleetSnapshot({}, True, make_version(9, era=1))
    assert fleet.covers(make_version(9, era=1))
    assert fleet.covers(make_version(8, era=1))
    assert not fleet.covers(make_version(10, era=1))
    assert not fleet.covers(make_version(1, era=0))
    assert not fleet.covers(make_version(1, era=2))


def test_records_without_a_list_cover_no_version():
    assert not fleet_snapshot.FleetSnapshot({}, False).covers(make_version(0))
