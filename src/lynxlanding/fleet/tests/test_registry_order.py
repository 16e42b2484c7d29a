"""Which of two records of one endpoint counts: after restarts, and after the entry was removed."""

from lynxlanding.fleet import registry
from lynxlanding.fleet.tests import test_registry

STARTED_MS = 1_000_000
EARLIER_START_MS = 996_000


def test_leaving_of_an_endpoint_restarted_with_its_clock_set_back_is_seen():
    """Guards against records of a new incarnation that are dropped as older."""
    endpoints = registry.EndpointRegistry()
    endpoints.apply_list([test_registry.make_record(started_ms=STARTED_MS)], 0.0)
    endpoints.apply_changes([test_registry.make_record(started_ms=EARLIER_START_MS)], [], 1.0)
    endpoints.apply_changes(
        [test_registry.make_record(started_ms=EARLIER_START_MS, is_leaving=True)], [], 2.0
    )
    assert not endpoints.is_usable("i-1")


def test_late_record_of_a_removed_incarnation_is_not_usable():
    """Guards against an endpoint that left unannounced and that a late heartbeat brings back."""
    endpoints = registry.EndpointRegistry()
    endpoints.apply_list([test_registry.make_record(heartbeat_number=1)], 0.0)
    endpoints.apply_changes([], ["i-1"], 1.0)
    endpoints.apply_changes([test_registry.make_record(heartbeat_number=5)], [], 1.5)
    assert not endpoints.is_usable("i-1")
