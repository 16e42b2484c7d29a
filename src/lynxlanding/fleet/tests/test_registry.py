from lynxlanding.fleet import endpoint_change, endpoint_record, registry


def make(endpoint_id="i-1", born_ms=10, orders=0, leaving=False, models=()):
    return endpoint_record.EndpointRecord(
        endpoint_id, "s", "127.0.0.1:1", "a", 6, leaving, born_ms, orders, None, models
    )


def kinds(changes):
    return [change.kind for change in changes]


def test_a_late_write_of_an_earlier_life_changes_nothing():
    """Guards against a restarted engine that is believed to be in its old group."""
    known = registry.EndpointRegistry()
    known.apply_list([make(born_ms=20)], 0.0)
    assert known.apply_changes([make(born_ms=10, orders=9)], [], 1.0) == []
    assert known.get("i-1").born_ms == 20


def test_an_older_count_of_orders_changes_nothing():
    known = registry.EndpointRegistry()
    known.apply_list([make(orders=5)], 0.0)
    assert known.apply_changes([make(orders=4)], [], 1.0) == []


def test_leaving_is_not_taken_back_in_the_same_life():
    """Guards against new requests to an endpoint that has announced its shutdown."""
    known = registry.EndpointRegistry()
    known.apply_list([make()], 0.0)
    assert kinds(known.apply_changes([make(leaving=True)], [], 1.0)) == [endpoint_change.LEAVING]
    known.apply_changes([make(leaving=False, orders=1)], [], 2.0)
    assert not known.is_usable("i-1")
    known.apply_changes([make(born_ms=30)], [], 3.0)
    assert known.is_usable("i-1")


def test_leaving_is_remembered_when_the_entry_is_gone():
    known = registry.EndpointRegistry()
    known.apply_list([make(leaving=True)], 0.0)
    known.apply_changes([], ["i-1"], 1.0)
    known.apply_changes([make()], [], 2.0)
    assert not known.is_usable("i-1")


def test_entries_that_lapsed_in_an_outage_have_two_seconds_to_return():
    """Guards against dropping every endpoint when the store comes back without entries."""
    known = registry.EndpointRegistry()
    known.apply_list([make("i-1"), make("i-2")], 0.0)
    known.on_store_lost()
    known.on_store_regained(10.0, was_outage=True)
    assert kinds(known.apply_list([], 10.0)) == [endpoint_change.LAPSED, endpoint_change.LAPSED]
    assert known.is_usable("i-1")
    known.apply_changes([make("i-1", orders=1)], [], 11.0)
    assert kinds(known.expire(12.1)) == [endpoint_change.REMOVED]
    assert known.is_usable("i-1")
    assert known.get("i-2") is None


def test_an_entry_removed_while_the_store_is_well_is_gone_at_once():
    known = registry.EndpointRegistry()
    known.apply_list([make()], 0.0)
    assert kinds(known.apply_changes([], ["i-1"], 1.0)) == [endpoint_change.REMOVED]


def test_remembers_the_last_model_of_one_life():
    known = registry.EndpointRegistry()
    known.apply_list([make(models=("m",))], 0.0)
    known.apply_changes([make(orders=1)], [], 1.0)
    assert known.get("i-1").last_model == "m"
    known.apply_changes([make(born_ms=11)], [], 2.0)
    assert known.get("i-1").last_model is None
