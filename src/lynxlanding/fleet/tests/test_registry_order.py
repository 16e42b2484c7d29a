"""Which of two records of one endpoint counts: after restarts, and after the entry was removed."""

from lynxlanding.fleet import registry
from lynxlanding.fleet.tests import test_registry

STARTED_MS = 1_000_000
EARLIER_START_MS = 996_000


def test_leaving_of_an_endpoint_restarted_with_its_clock_set_back_is_seen():
    """Guards against records of a new incarnation that are dropped as older."""
    endpoints = registry.EndpointRegistry(heartbeat_interval_s=1.0)
    endpoints.apply_list([test_registry.make_record(started_ms=STARTED_MS)], 0.0)
    endpoints.apply_changes([test_registry.make_record(started_ms=EARLIER_START_MS)], [], 1.0)
    endpoints.apply_changes(
        [test_registry.make_record(started_ms=EARLIER_START_MS, is_leaving=True)], [], 2.0
    )
    assert not endpoints.is_usable("i-1")


def test_late_record_of_a_removed_incarnation_is_not_usable():
    """Guards against an endpoint that left unannounced and that a late heartbeat brings back."""
    endpoints = registry.EndpointRegistry(heartbeat_interval_s=1.0)
    endpoints.apply_list([test_registry.make_record(heartbeat_number=1)], 0.0)
    endpoints.apply_changes([], ["i-1"], 1.0)
    endpoints.apply_changes([test_registry.make_record(heartbeat_number=5)], [], 1.5)
    assert not endpoints.is_usable("i-1")


def return_after_removal(endpoints, **changes):
    """Add an endpoint, remove its entry at 1.0 and bring it back at 1.5."""
    endpoints.apply_list([test_registry.make_record()], 0.0)
    endpoints.apply_changes([], ["i-1"], 1.0)
    return endpoints.apply_changes([test_registry.make_record(**changes)], [], 1.5)


def test_returned_endpoint_is_usable_once_it_is_confirmed():
    """Guards against an endpoint that was cut from the store and stays unused."""
    endpoints = registry.EndpointRegistry(heartbeat_interval_s=1.0)
    return_after_removal(endpoints, heartbeat_number=5)
    assert [record.endpoint_id for record in endpoints.records_to_check()] == ["i-1"]
    assert test_registry.change_kinds(endpoints.confirm("i-1", 10)) == ["confirmed"]
    assert endpoints.is_usable("i-1")
    assert endpoints.records_to_check() == []
    assert endpoints.confirm("i-1", 10) == []


def test_another_incarnation_is_not_confirmed():
    endpoints = registry.EndpointRegistry(heartbeat_interval_s=1.0)
    return_after_removal(endpoints, heartbeat_number=5)
    assert endpoints.confirm("i-1", 9) == []
    assert not endpoints.is_usable("i-1")


def test_entry_that_the_store_keeps_receives_heartbeats():
    """A late write lapses after three heartbeat intervals; only a read of the store shows that."""
    endpoints = registry.EndpointRegistry(heartbeat_interval_s=1.0)
    return_after_removal(endpoints, heartbeat_number=5)
    assert endpoints.expire(9.0) == []
    endpoints.apply_changes([], [], 5.4)
    assert endpoints.expire(9.0) == []
    endpoints.apply_changes([], [], 5.5)
    assert test_registry.change_kinds(endpoints.expire(9.0)) == ["confirmed"]
    assert endpoints.is_usable("i-1")


def test_entry_that_late_writes_keep_is_not_confirmed_while_checks_fail():
    """Guards against an engine that is leaving and that two late heartbeats bring back for long."""
    endpoints = registry.EndpointRegistry(heartbeat_interval_s=1.0)
    return_after_removal(endpoints, heartbeat_number=5)
    for checked_at in (1.6, 2.6, 3.6, 4.6):
        endpoints.record_failed_check("i-1", 10, checked_at)
        endpoints.apply_changes([], [], checked_at + 0.9)
        assert endpoints.expire(checked_at + 0.9) == []
    # Another incarnation at the same address says nothing about this one.
    endpoints.record_failed_check("i-1", 9, 8.0)
    endpoints.apply_changes([], [], 8.7)
    assert test_registry.change_kinds(endpoints.expire(8.7)) == ["confirmed"]


def test_endpoint_that_first_appears_with_a_late_heartbeat_is_unconfirmed():
    """Guards against a node that starts after the removal of an entry and before a late write."""
    endpoints = registry.EndpointRegistry(heartbeat_interval_s=1.0)
    endpoints.apply_list([], 0.0)
    endpoints.apply_changes([test_registry.make_record(heartbeat_number=5)], [], 0.5)
    assert not endpoints.is_usable("i-1")
    assert [record.endpoint_id for record in endpoints.records_to_check()] == ["i-1"]
    endpoints.confirm("i-1", 10)
    assert endpoints.is_usable("i-1")


def test_endpoint_that_first_appears_with_its_first_heartbeat_is_usable():
    endpoints = registry.EndpointRegistry(heartbeat_interval_s=1.0)
    endpoints.apply_list([], 0.0)
    endpoints.apply_changes([test_registry.make_record(heartbeat_number=1)], [], 0.5)
    assert endpoints.is_usable("i-1")


def test_later_incarnation_is_usable_once_it_is_confirmed():
    """Guards against a late first heartbeat of an incarnation that nobody has seen."""
    endpoints = registry.EndpointRegistry(heartbeat_interval_s=1.0)
    return_after_removal(endpoints, started_ms=11)
    assert not endpoints.is_usable("i-1")
    endpoints.confirm("i-1", 11)
    assert endpoints.is_usable("i-1")


def test_restarted_endpoint_is_asked_at_once():
    """Guards against waiting for a restarted endpoint longer than for one health check."""
    endpoints = registry.EndpointRegistry(heartbeat_interval_s=1.0)
    endpoints.apply_list([test_registry.make_record(started_ms=STARTED_MS)], 0.0)
    restarted = test_registry.make_record(started_ms=STARTED_MS + 1)
    changes = endpoints.apply_changes([restarted], [], 1.0)
    assert test_registry.change_kinds(changes) == ["restarted"]
    assert not endpoints.is_usable("i-1")
    assert [record.started_ms for record in endpoints.records_to_check()] == [STARTED_MS + 1]
    endpoints.confirm("i-1", STARTED_MS + 1)
    assert endpoints.is_usable("i-1")


def test_updates_of_a_returned_endpoint_do_not_confirm_it():
    """Several late writes can arrive one after the other."""
    endpoints = registry.EndpointRegistry(heartbeat_interval_s=1.0)
    return_after_removal(endpoints, heartbeat_number=5)
    endpoints.apply_changes([test_registry.make_record(heartbeat_number=6)], [], 1.7)
    assert not endpoints.is_usable("i-1")


def test_leaving_endpoint_is_not_checked_when_it_returns():
    endpoints = registry.EndpointRegistry(heartbeat_interval_s=1.0)
    return_after_removal(endpoints, is_leaving=True)
    assert endpoints.records_to_check() == []


def restart_with_clock_set_back(endpoints, **changes):
    """Restart a known endpoint with an earlier start time at 1.0; return the changes."""
    endpoints.apply_list([test_registry.make_record(started_ms=STARTED_MS)], 0.0)
    record = test_registry.make_record(started_ms=EARLIER_START_MS, **changes)
    return endpoints.apply_changes([record], [], 1.0)


def test_endpoint_restarted_with_its_clock_set_back_is_used_again():
    """Guards against an endpoint that stays unused, or used under its previous incarnation."""
    endpoints = registry.EndpointRegistry(heartbeat_interval_s=1.0)
    changes = restart_with_clock_set_back(endpoints)
    assert test_registry.change_kinds(changes) == ["restart_suspected", "unconfirmed"]
    assert not endpoints.is_usable("i-1")
    assert endpoints.records_to_check() == []
    endpoints.apply_changes([], [], 2.9)
    assert endpoints.expire(2.9) == []
    endpoints.apply_changes([], [], 3.0)
    assert test_registry.change_kinds(endpoints.expire(3.0)) == ["restarted"]
    assert endpoints.get("i-1").started_ms == EARLIER_START_MS
    assert [record.started_ms for record in endpoints.records_to_check()] == [EARLIER_START_MS]
    endpoints.confirm("i-1", EARLIER_START_MS)
    assert endpoints.is_usable("i-1")


def test_late_write_of_the_replaced_incarnation_does_not_make_the_endpoint_usable():
    """Guards against the previous incarnation, whose clock was ahead, hiding that of today."""
    endpoints = registry.EndpointRegistry(heartbeat_interval_s=1.0)
    restart_with_clock_set_back(endpoints)
    endpoints.apply_changes([], [], 3.0)
    endpoints.expire(3.0)
    leaving = test_registry.make_record(started_ms=EARLIER_START_MS, is_leaving=True)
    endpoints.apply_changes([leaving], [], 4.0)
    late = test_registry.make_record(started_ms=STARTED_MS, heartbeat_number=30)
    endpoints.apply_changes([late], [], 4.5)
    assert not endpoints.is_usable("i-1")
    endpoints.apply_changes([leaving], [], 5.0)
    assert not endpoints.is_usable("i-1")
    endpoints.apply_changes([], [], 7.0)
    endpoints.expire(7.0)
    assert endpoints.get("i-1").started_ms == EARLIER_START_MS
    endpoints.confirm("i-1", EARLIER_START_MS)
    assert not endpoints.is_usable("i-1")


def test_two_incarnations_that_write_in_turn_are_not_used_until_one_stays():
    """Guards against a lasting decision for the wrong one by a single late write."""
    endpoints = registry.EndpointRegistry(heartbeat_interval_s=1.0)
    restart_with_clock_set_back(endpoints, heartbeat_number=1)
    late = test_registry.make_record(started_ms=STARTED_MS, heartbeat_number=30)
    endpoints.apply_changes([late], [], 1.4)
    assert not endpoints.is_usable("i-1")
    again = test_registry.make_record(started_ms=EARLIER_START_MS, heartbeat_number=2)
    endpoints.apply_changes([again], [], 2.0)
    assert not endpoints.is_usable("i-1")
    assert endpoints.confirm("i-1", STARTED_MS) == []
    endpoints.apply_changes([], [], 4.0)
    endpoints.expire(4.0)
    assert endpoints.get("i-1").started_ms == EARLIER_START_MS


def test_leaving_of_an_earlier_incarnation_does_not_stick_to_the_next_one():
    """Guards against a restarted endpoint that stays leaving for good."""
    endpoints = registry.EndpointRegistry(heartbeat_interval_s=1.0)
    endpoints.apply_list([test_registry.make_record(started_ms=STARTED_MS, is_leaving=True)], 0.0)
    endpoints.apply_changes([], ["i-1"], 1.0)
    endpoints.apply_changes([test_registry.make_record(started_ms=EARLIER_START_MS)], [], 2.0)
    assert not endpoints.get("i-1").is_leaving
    endpoints.confirm("i-1", EARLIER_START_MS)
    assert endpoints.is_usable("i-1")


def test_announcement_is_seen_although_a_late_heartbeat_follows_it():
    """Guards against an announcement that a late heartbeat of the same batch hides."""
    endpoints = registry.EndpointRegistry(heartbeat_interval_s=1.0)
    endpoints.apply_list([test_registry.make_record(heartbeat_number=1)], 0.0)
    announcement = test_registry.make_record(heartbeat_number=8, is_leaving=True)
    late = test_registry.make_record(heartbeat_number=7)
    endpoints.apply_changes([announcement, late], [], 1.0)
    assert not endpoints.is_usable("i-1")


def lapse_after_outage(endpoints):
    """End an outage at 10.0 and remove the entry at 10.1."""
    endpoints.apply_list([test_registry.make_record()], 0.0)
    endpoints.on_store_unavailable()
    endpoints.on_store_available(10.0, was_outage=True)
    endpoints.apply_changes([], [], 10.0)
    endpoints.apply_changes([], ["i-1"], 10.1)


def test_endpoint_that_leaves_right_after_an_outage_is_not_used_through_the_grace_period():
    """Guards against an unannounced leaving that is taken for an entry lapsed in an outage."""
    endpoints = registry.EndpointRegistry(heartbeat_interval_s=1.0)
    lapse_after_outage(endpoints)
    assert endpoints.is_usable("i-1")
    assert [record.endpoint_id for record in endpoints.records_to_check()] == ["i-1"]
    assert test_registry.change_kinds(endpoints.expire(11.1)) == ["unconfirmed"]
    assert not endpoints.is_usable("i-1")
    assert test_registry.change_kinds(endpoints.expire(12.0)) == ["removed"]


def test_lapsed_endpoint_that_answers_is_used_until_it_registers_again():
    """Guards against leaving out all endpoints after an outage of the store."""
    endpoints = registry.EndpointRegistry(heartbeat_interval_s=1.0)
    lapse_after_outage(endpoints)
    endpoints.confirm("i-1", 10)
    assert endpoints.records_to_check() == []
    assert endpoints.expire(11.9) == []
    assert endpoints.is_usable("i-1")
    endpoints.apply_changes([test_registry.make_record(heartbeat_number=9)], [], 11.9)
    assert endpoints.expire(20.0) == []
    assert endpoints.is_usable("i-1")


def test_lapsed_endpoint_that_registers_again_is_usable_without_a_check():
    endpoints = registry.EndpointRegistry(heartbeat_interval_s=1.0)
    lapse_after_outage(endpoints)
    endpoints.expire(11.1)
    changes = endpoints.apply_changes([test_registry.make_record(heartbeat_number=9)], [], 11.5)
    assert test_registry.change_kinds(changes) == ["confirmed"]
    assert endpoints.is_usable("i-1")


def test_lapsed_endpoint_that_failed_a_check_is_unconfirmed_when_it_returns():
    """Guards against an unannounced leaving in an outage, and a late heartbeat after it."""
    endpoints = registry.EndpointRegistry(heartbeat_interval_s=1.0)
    lapse_after_outage(endpoints)
    endpoints.record_failed_check("i-1", 10, 10.3)
    endpoints.apply_changes([test_registry.make_record(heartbeat_number=9)], [], 10.5)
    assert not endpoints.is_usable("i-1")
    endpoints.confirm("i-1", 10)
    assert endpoints.is_usable("i-1")


def test_time_does_not_confirm_an_endpoint_whose_entry_has_lapsed():
    """Guards against a late write that lapses within the grace period of an outage."""
    endpoints = registry.EndpointRegistry(heartbeat_interval_s=1.0)
    return_after_removal(endpoints, heartbeat_number=5)
    endpoints.on_store_available(5.0, was_outage=True)
    endpoints.apply_changes([], ["i-1"], 5.1)
    endpoints.apply_changes([], [], 5.9)
    assert endpoints.expire(5.9) == []
    assert not endpoints.is_usable("i-1")
    assert test_registry.change_kinds(endpoints.expire(7.0)) == ["removed"]


def test_removal_ends_the_incarnation_that_wrote_the_entry():
    """Guards against a late write of a suspected restart whose entry was removed meanwhile."""
    endpoints = registry.EndpointRegistry(heartbeat_interval_s=1.0)
    endpoints.apply_list([test_registry.make_record(started_ms=STARTED_MS + 5000)], 0.0)
    endpoints.apply_changes([], ["i-1"], 1.0)
    endpoints.apply_changes([test_registry.make_record(started_ms=STARTED_MS)], [], 2.0)
    restarted = test_registry.make_record(started_ms=STARTED_MS + 1)
    endpoints.apply_changes([restarted], [], 3.0)
    endpoints.apply_changes([], ["i-1"], 4.0)
    late = test_registry.make_record(started_ms=STARTED_MS + 1, heartbeat_number=4)
    endpoints.apply_changes([late], [], 5.0)
    assert not endpoints.is_usable("i-1")


def test_earlier_removal_is_not_forgotten_at_the_next_one():
    """Guards against a late write of an incarnation whose clock was ahead of the next one's."""
    endpoints = registry.EndpointRegistry(heartbeat_interval_s=1.0)
    for started_ms in (STARTED_MS, EARLIER_START_MS):
        endpoints.apply_changes([test_registry.make_record(started_ms=started_ms)], [], 1.0)
        endpoints.apply_changes([], ["i-1"], 2.0)
    endpoints.apply_changes([test_registry.make_record(started_ms=STARTED_MS)], [], 3.0)
    assert not endpoints.is_usable("i-1")
