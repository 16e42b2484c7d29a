from lynxlanding.fleet import endpoint_change, endpoint_record, registry


def make_record(endpoint_id="i-1", started_ms=10, heartbeat_number=0, is_leaving=False, models=()):
    return endpoint_record.EndpointRecord(
        endpoint_id,
        "s",
        "127.0.0.1:1",
        "a",
        6,
        is_leaving,
        started_ms,
        heartbeat_number,
        None,
        models,
    )


def change_kinds(changes):
    return [change.kind for change in changes]


def test_late_write_of_older_incarnation_does_not_replace_the_known_one():
    """Guards against listing a restarted engine in the group of its previous incarnation."""
    endpoints = registry.EndpointRegistry(heartbeat_interval_s=1.0)
    endpoints.apply_list([make_record(started_ms=20)], 0.0)
    late = make_record(started_ms=10, heartbeat_number=9, models=("m",))
    changes = endpoints.apply_changes([late], [], 1.0)
    assert change_kinds(changes) == [endpoint_change.RESTART_SUSPECTED, endpoint_change.UNCONFIRMED]
    assert endpoints.get("i-1").started_ms == 20
    assert endpoints.get("i-1").models == ()
    assert not endpoints.is_usable("i-1")
    # The live incarnation overwrites the late write with its next heartbeat.
    endpoints.apply_changes([make_record(started_ms=20, heartbeat_number=2)], [], 2.0)
    assert endpoints.get("i-1").started_ms == 20
    assert change_kinds(endpoints.confirm("i-1", 20)) == [endpoint_change.CONFIRMED]
    assert endpoints.is_usable("i-1")


def test_record_of_an_earlier_heartbeat_is_ignored():
    endpoints = registry.EndpointRegistry(heartbeat_interval_s=1.0)
    endpoints.apply_list([make_record(heartbeat_number=5)], 0.0)
    changes = endpoints.apply_changes([make_record(heartbeat_number=4)], [], 1.0)
    assert change_kinds(changes) == [endpoint_change.IGNORED]
    assert endpoints.get("i-1").heartbeat_number == 5


def test_leaving_endpoint_stays_leaving_until_it_restarts():
    """Guards against sending new requests to an endpoint that has announced its shutdown."""
    endpoints = registry.EndpointRegistry(heartbeat_interval_s=1.0)
    endpoints.apply_list([make_record()], 0.0)
    assert change_kinds(endpoints.apply_changes([make_record(is_leaving=True)], [], 1.0)) == [
        endpoint_change.LEAVING
    ]
    endpoints.apply_changes([make_record(is_leaving=False, heartbeat_number=1)], [], 2.0)
    assert not endpoints.is_usable("i-1")
    endpoints.apply_changes([make_record(started_ms=30)], [], 3.0)
    assert not endpoints.get("i-1").is_leaving
    endpoints.confirm("i-1", 30)
    assert endpoints.is_usable("i-1")


def test_leaving_is_remembered_after_the_entry_is_removed():
    endpoints = registry.EndpointRegistry(heartbeat_interval_s=1.0)
    endpoints.apply_list([make_record(is_leaving=True)], 0.0)
    endpoints.apply_changes([], ["i-1"], 1.0)
    endpoints.apply_changes([make_record()], [], 2.0)
    assert not endpoints.is_usable("i-1")


def test_lapsed_endpoints_have_a_grace_period_after_an_outage():
    """Guards against removing every endpoint when the store is empty after an outage."""
    endpoints = registry.EndpointRegistry(heartbeat_interval_s=1.0)
    endpoints.apply_list([make_record("i-1"), make_record("i-2")], 0.0)
    endpoints.on_store_unavailable()
    endpoints.on_store_available(10.0, was_outage=True)
    assert change_kinds(endpoints.apply_list([], 10.0)) == [
        endpoint_change.LAPSED,
        endpoint_change.LAPSED,
    ]
    assert endpoints.is_usable("i-1")
    endpoints.apply_changes([make_record("i-1", heartbeat_number=1)], [], 11.0)
    assert change_kinds(endpoints.expire(12.1)) == [endpoint_change.REMOVED]
    assert endpoints.is_usable("i-1")
    assert endpoints.get("i-2") is None


def test_entry_removed_without_an_outage_is_removed_immediately():
    endpoints = registry.EndpointRegistry(heartbeat_interval_s=1.0)
    endpoints.apply_list([make_record()], 0.0)
    assert change_kinds(endpoints.apply_changes([], ["i-1"], 1.0)) == [endpoint_change.REMOVED]


def test_last_model_is_kept_within_an_incarnation():
    endpoints = registry.EndpointRegistry(heartbeat_interval_s=1.0)
    endpoints.apply_list([make_record(models=("m",))], 0.0)
    endpoints.apply_changes([make_record(heartbeat_number=1)], [], 1.0)
    assert endpoints.get("i-1").last_model == "m"
    endpoints.apply_changes([make_record(started_ms=11)], [], 2.0)
    assert endpoints.get("i-1").last_model is None


def test_a_list_from_an_older_copy_takes_nothing_back():
    """Guards against endpoints that vanish or return to an earlier state with the store."""
    endpoints = registry.EndpointRegistry(heartbeat_interval_s=1.0)
    endpoints.apply_list([make_record("i-1"), make_record("i-2", models=("m",))], 0.0)
    endpoints.apply_changes([make_record("i-3", is_leaving=True)], [], 1.0)
    endpoints.on_store_rolled_back()
    older = [make_record("i-2"), make_record("i-3")]
    changes = endpoints.apply_list(older, 2.0)
    assert change_kinds(changes) == ["ignored", "ignored", "lapsed"]
    assert endpoints.is_usable("i-1")
    assert endpoints.get("i-2").models == ("m",)
    assert not endpoints.is_usable("i-3")
    endpoints.apply_changes([make_record("i-1")], [], 2.5)
    assert endpoints.expire(5.0) == []


def test_an_endpoint_that_does_not_return_after_a_roll_back_is_removed():
    endpoints = registry.EndpointRegistry(heartbeat_interval_s=1.0)
    endpoints.apply_list([make_record("i-1"), make_record("i-2")], 0.0)
    endpoints.on_store_rolled_back()
    endpoints.apply_list([make_record("i-2")], 1.0)
    assert change_kinds(endpoints.expire(1.0 + registry.LAPSE_GRACE_S)) == ["removed"]


def test_leaving_stated_in_a_response_holds_until_the_endpoint_restarts():
    """Guards against an endpoint that its next heartbeat brings back into use."""
    endpoints = registry.EndpointRegistry(heartbeat_interval_s=1.0)
    endpoints.apply_list([make_record()], 0.0)
    assert endpoints.record_leaving("i-1", 9) == []
    assert change_kinds(endpoints.record_leaving("i-1", 10)) == [endpoint_change.LEAVING]
    assert endpoints.record_leaving("i-1", 10) == []
    assert not endpoints.is_usable("i-1")
    endpoints.apply_changes([make_record(heartbeat_number=1)], [], 1.0)
    assert not endpoints.is_usable("i-1")
    endpoints.apply_changes([make_record(started_ms=20)], [], 2.0)
    endpoints.confirm("i-1", 20)
    assert endpoints.is_usable("i-1")


def test_leaving_of_an_incarnation_that_is_not_registered_yet_is_remembered():
    """Guards against a statement that is lost because the store is read later."""
    endpoints = registry.EndpointRegistry(heartbeat_interval_s=1.0)
    endpoints.apply_list([], 0.0)
    assert endpoints.record_leaving("i-1", 10) == []
    endpoints.apply_changes([make_record()], [], 1.0)
    assert not endpoints.is_usable("i-1")
