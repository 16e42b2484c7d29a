import threading
import time

import numpy as np
import pytest

from lynxlanding.errors import request as request_errors
from lynxlanding.requests import (
    claim_events,
    claim_manager,
    claim_record,
    claim_ticket,
    membership_owner_lookup,
    node_identity,
    recorded_response,
)
from lynxlanding.store import memory_store

RESPONSE = recorded_response.make_recorded_response(
    200, [("Content-Type", "text/plain")], b"booked"
)
FINGERPRINT = claim_record.compute_fingerprint("POST", "/book", b"yard 4")


class InProcessLookup:
    """``OwnerLookup`` that calls the owner's claim manager in the same process."""

    def __init__(self):
        self.managers = {}

    def ask(self, owner, token, wait_s):
        manager = self.managers.get(owner.node_id)
        if manager is None:
            return claim_events.OwnerAnswered(claim_events.DEAD)
        return manager.outcome(token, wait_s)


@pytest.fixture
def store():
    return memory_store.MemoryObjectStore()


@pytest.fixture
def managers(store):
    lookup = InProcessLookup()
    created = []
    for node_id in ("n1", "n2"):
        identity = node_identity.NodeIdentity(node_id, f"{node_id}-1", "127.0.0.1:1")
        manager = claim_manager.ClaimManager(store, identity, lookup, 1e6, np.random.default_rng(1))
        lookup.managers[node_id] = manager
        created.append(manager)
    yield created
    for manager in created:
        manager.stop()


def _begin(manager, timeout_s=5.0, fingerprint=FINGERPRINT):
    return manager.begin("north", "k1", fingerprint, time.monotonic() + timeout_s)


def _wait_written(manager):
    assert manager.wait_until_written(5.0) == 0


def test_repeat_on_another_node_gets_the_recorded_response(store, managers):
    """Guards against a second execution when the caller repeats a request at another node."""
    ticket = _begin(managers[0])
    assert ticket.may_send()
    assert not ticket.may_send()
    ticket.complete(RESPONSE)
    _wait_written(managers[0])
    assert _begin(managers[1]) == RESPONSE
    assert store.call_counts["create"] == 2
    assert store.call_counts["update"] == 1


def test_repeat_waits_for_the_owner(managers):
    """Guards against a refusal while the first submission is still running."""
    ticket = _begin(managers[0])
    assert ticket.may_send()
    threading.Timer(0.1, ticket.complete, [RESPONSE]).start()
    assert _begin(managers[1]) == RESPONSE


def test_repeat_on_the_same_node_needs_no_store(store, managers):
    """Guards against ``executed: no`` for a request that this node has executed."""
    ticket = _begin(managers[0])
    assert ticket.may_send()
    store.unavailable = True
    ticket.complete(RESPONSE)
    assert _begin(managers[0]) == RESPONSE
    store.unavailable = False
    _wait_written(managers[0])


def test_lost_store_response_is_followed_by_a_read(store, managers):
    """Guards against a refusal or a second claim after a lost response of the store."""
    store.responses_to_lose = 1
    assert isinstance(_begin(managers[0]), claim_ticket.ClaimTicket)
    assert store.call_counts == {"create": 1, "get": 1}


def test_unavailable_store_refuses(store, managers):
    """Guards against sending a request without the protection of a claim."""
    store.unavailable = True
    with pytest.raises(request_errors.ClaimsUnavailable) as caught:
        _begin(managers[0])
    # An earlier submission of the key may have run on another node.
    assert caught.value.executed == "unknown"


def test_released_claim_is_claimed_again(store, managers):
    """Guards against a key that stays unusable after its first submission was not executed."""
    ticket = _begin(managers[0])
    ticket.give_up()
    second = _begin(managers[1])
    assert second.may_send()
    second.complete(RESPONSE)
    _wait_written(managers[0])
    _wait_written(managers[1])
    assert _begin(managers[0]) == RESPONSE


def test_unknown_outcome_is_never_claimed_again(managers):
    """Guards against a second execution after a broken connection."""
    ticket = _begin(managers[0])
    assert ticket.may_send()
    ticket.give_up()
    for manager in managers:
        with pytest.raises(request_errors.OutcomeUnknown) as caught:
            _begin(manager)
        assert caught.value.executed == "unknown"


def test_other_request_with_the_same_key_is_refused(managers):
    """Guards against answering a caller with the response to another request."""
    _begin(managers[0])
    with pytest.raises(request_errors.IdempotencyKeyReused):
        _begin(managers[1], fingerprint="other")


def test_large_response_is_not_replayed_truncated(managers):
    """Guards against replaying a truncated response as if it were complete."""
    ticket = _begin(managers[0])
    assert ticket.may_send()
    body = b"x" * (recorded_response.MAX_BODY_BYTES + 1)
    ticket.complete(recorded_response.make_recorded_response(200, [], body))
    with pytest.raises(request_errors.ResponseNotKept) as caught:
        _begin(managers[1])
    assert caught.value.executed == "yes"


def test_outcome_is_written_after_an_outage(store, managers):
    """Guards against outcomes that are lost because the store is briefly unavailable."""
    ticket = _begin(managers[0])
    assert ticket.may_send()
    store.unavailable = True
    ticket.complete(RESPONSE)
    time.sleep(0.15)
    store.unavailable = False
    _wait_written(managers[0])
    stored = store.get("claims", claim_record.make_object_name("north", "k1"))
    assert stored.value["state"] == "done"


def test_write_rate_is_limited(store):
    """Guards against a node that uses up the write rate of the store."""
    identity = node_identity.NodeIdentity("n1", "1", "127.0.0.1:1")
    manager = claim_manager.ClaimManager(
        store, identity, InProcessLookup(), 0.3, np.random.default_rng(1)
    )
    for number in range(10):
        manager.begin("north", f"k{number}", FINGERPRINT, time.monotonic() + 5)
    with pytest.raises(request_errors.ClaimsUnavailable) as caught:
        manager.begin("north", "k10", FINGERPRINT, time.monotonic() + 5)
    assert caught.value.retry_after_s == pytest.approx(10.0, rel=0.1)
    assert store.call_counts == {"create": 10}
    manager.stop()


@pytest.mark.parametrize(
    ("live", "outcome"),
    [
        (None, claim_events.UNREACHABLE),
        (["n1"], claim_events.UNREACHABLE),
        (["n2"], claim_events.DEAD),
    ],
)
def test_unreachable_owner_is_dead_if_it_is_not_a_member(live, outcome):
    """Guards against repeated requests that wait until their deadline for a removed VM."""

    class UnreachableLookup:
        def ask(self, owner, token, wait_s):
            return claim_events.OwnerAnswered(claim_events.UNREACHABLE)

    lookup = membership_owner_lookup.MembershipOwnerLookup(UnreachableLookup())
    if live is not None:
        lookup.set_live_node_ids(live)
    owner = node_identity.NodeIdentity("n1", "1", "127.0.0.1:1")
    assert lookup.ask(owner, "t", 1.0).outcome == outcome


def test_expired_claims_are_collected_once(store, managers):
    """Guards against claims that are never deleted, and against deleting recent claims."""
    day = 24 * 3600.0
    for number in range(20):
        identity = node_identity.NodeIdentity("n1", "1", "127.0.0.1:1")
        created_at = 0.0 if number < 10 else 2 * day
        record = claim_record.ClaimRecord(
            FINGERPRINT, identity, str(number), claim_record.DONE, created_at, RESPONSE
        )
        store.create("claims", claim_record.make_object_name("north", str(number)), record.encode())
    for manager in managers:
        manager.set_members(["n1", "n2"])
    # Although the clock is far ahead, only claims that are old relative to others are deleted.
    counts = [manager.delete_expired(90 * day) for manager in managers]
    assert sum(counts) == 10
    assert min(counts) > 0
    assert len(store.list("claims")[0]) == 10
