import threading
import time

import numpy as np
import pytest

from lynxlanding.errors import request as request_errors
from lynxlanding.requests import (
    claim_events,
    claim_keeper,
    claim_record,
    claim_ticket,
    member_lookup,
    node_identity,
    recorded_response,
)
from lynxlanding.store import memory_store

RESPONSE = recorded_response.record(200, [("Content-Type", "text/plain")], b"booked")
FINGERPRINT = claim_record.fingerprint_of("POST", "/book", b"yard 4")


class LocalLookup:
    """``OwnerLookup`` that calls the other keeper in the same process."""

    def __init__(self):
        self.keepers = {}

    def ask(self, owner, token, wait_s):
        keeper = self.keepers.get(owner.node_id)
        if keeper is None:
            return claim_events.OwnerAnswered(claim_events.DEAD)
        return keeper.outcome(token, wait_s)


@pytest.fixture
def store():
    return memory_store.MemoryObjectStore()


@pytest.fixture
def keepers(store):
    lookup = LocalLookup()
    made = []
    for node_id in ("n1", "n2"):
        identity = node_identity.NodeIdentity(node_id, f"{node_id}-1", "127.0.0.1:1")
        keeper = claim_keeper.ClaimKeeper(store, identity, lookup, 1e6, np.random.default_rng(1))
        lookup.keepers[node_id] = keeper
        made.append(keeper)
    yield made
    for keeper in made:
        keeper.stop()


def _begin(keeper, timeout_s=5.0, fingerprint=FINGERPRINT):
    return keeper.begin("north", "k1", fingerprint, time.monotonic() + timeout_s)


def _wait_written(keeper):
    assert keeper.wait_written(5.0) == 0


def test_repeat_on_another_node_gets_the_recorded_response(store, keepers):
    """Guards against a second execution when the caller repeats on another node."""
    ticket = _begin(keepers[0])
    assert ticket.may_send()
    assert not ticket.may_send()
    ticket.complete(RESPONSE)
    _wait_written(keepers[0])
    assert _begin(keepers[1]) == RESPONSE
    assert store.calls["create"] == 2
    assert store.calls["update"] == 1


def test_repeat_waits_for_the_owner(keepers):
    """Guards against a refusal while the first submission is still running."""
    ticket = _begin(keepers[0])
    assert ticket.may_send()
    threading.Timer(0.1, ticket.complete, [RESPONSE]).start()
    assert _begin(keepers[1]) == RESPONSE


def test_repeat_on_the_same_node_needs_no_store(store, keepers):
    """Guards against ``executed: no`` for a request that this node knows to have run."""
    ticket = _begin(keepers[0])
    assert ticket.may_send()
    store.unavailable = True
    ticket.complete(RESPONSE)
    assert _begin(keepers[0]) == RESPONSE
    store.unavailable = False
    _wait_written(keepers[0])


def test_lost_answer_is_read_again(store, keepers):
    """Guards against a refusal or a second claim after a lost answer of the store."""
    store.lose_answers = 1
    assert isinstance(_begin(keepers[0]), claim_ticket.ClaimTicket)
    assert store.calls == {"create": 1, "get": 1}


def test_unavailable_store_refuses(store, keepers):
    """Guards against sending a keyed request that no claim protects."""
    store.unavailable = True
    with pytest.raises(request_errors.ClaimsUnavailable) as caught:
        _begin(keepers[0])
    # An earlier submission of the key may have run on another node.
    assert caught.value.executed == "unknown"


def test_released_claim_is_claimed_again(store, keepers):
    """Guards against a key that can never run because its first submission could not."""
    ticket = _begin(keepers[0])
    ticket.give_up()
    second = _begin(keepers[1])
    assert second.may_send()
    second.complete(RESPONSE)
    _wait_written(keepers[0])
    _wait_written(keepers[1])
    assert _begin(keepers[0]) == RESPONSE


def test_unknown_outcome_is_never_claimed_again(keepers):
    """Guards against a second execution after a broken connection."""
    ticket = _begin(keepers[0])
    assert ticket.may_send()
    ticket.give_up()
    for keeper in keepers:
        with pytest.raises(request_errors.OutcomeUnknown) as caught:
            _begin(keeper)
        assert caught.value.executed == "unknown"


def test_other_request_with_the_same_key_is_refused(keepers):
    """Guards against answering a caller with the response to another request."""
    _begin(keepers[0])
    with pytest.raises(request_errors.KeyReused):
        _begin(keepers[1], fingerprint="other")


def test_large_response_is_not_replayed_truncated(keepers):
    """Guards against a replay that presents a part of a response as complete."""
    ticket = _begin(keepers[0])
    assert ticket.may_send()
    body = b"x" * (recorded_response.MAX_BODY_BYTES + 1)
    ticket.complete(recorded_response.record(200, [], body))
    with pytest.raises(request_errors.ResponseNotKept) as caught:
        _begin(keepers[1])
    assert caught.value.executed == "yes"


def test_outcome_is_written_after_an_outage(store, keepers):
    """Guards against an outcome that is lost because the store was unavailable for a moment."""
    ticket = _begin(keepers[0])
    assert ticket.may_send()
    store.unavailable = True
    ticket.complete(RESPONSE)
    time.sleep(0.15)
    store.unavailable = False
    _wait_written(keepers[0])
    stored = store.get("claims", claim_record.name_of("north", "k1"))
    assert stored.value["state"] == "done"


def test_write_rate_is_limited(store):
    """Guards against a node that uses up the store's write rate."""
    identity = node_identity.NodeIdentity("n1", "1", "127.0.0.1:1")
    keeper = claim_keeper.ClaimKeeper(store, identity, LocalLookup(), 0.3, np.random.default_rng(1))
    for number in range(10):
        keeper.begin("north", f"k{number}", FINGERPRINT, time.monotonic() + 5)
    with pytest.raises(request_errors.ClaimsUnavailable) as caught:
        keeper.begin("north", "k10", FINGERPRINT, time.monotonic() + 5)
    assert caught.value.retry_after_s == pytest.approx(10.0, rel=0.1)
    assert store.calls == {"create": 10}
    keeper.stop()


@pytest.mark.parametrize(
    ("live", "outcome"),
    [
        (None, claim_events.UNREACHABLE),
        (["n1"], claim_events.UNREACHABLE),
        (["n2"], claim_events.DEAD),
    ],
)
def test_unreachable_owner_is_dead_once_membership_agrees(live, outcome):
    """Guards against a repeat that waits until its deadline for a VM that is gone."""

    class Silent:
        def ask(self, owner, token, wait_s):
            return claim_events.OwnerAnswered(claim_events.UNREACHABLE)

    lookup = member_lookup.MemberLookup(Silent())
    if live is not None:
        lookup.set_live(live)
    owner = node_identity.NodeIdentity("n1", "1", "127.0.0.1:1")
    assert lookup.ask(owner, "t", 1.0).outcome == outcome


def test_expired_claims_are_collected_once(store, keepers):
    """Guards against claims that are never deleted, and against the deletion of young ones."""
    day = 24 * 3600.0
    for number in range(20):
        identity = node_identity.NodeIdentity("n1", "1", "127.0.0.1:1")
        created_at = 0.0 if number < 10 else 2 * day
        record = claim_record.ClaimRecord(
            FINGERPRINT, identity, str(number), claim_record.DONE, created_at, RESPONSE
        )
        store.create("claims", claim_record.name_of("north", str(number)), record.encode())
    for keeper in keepers:
        keeper.set_members(["n1", "n2"])
    # A clock that is far ahead deletes nothing that other claims do not show to be old.
    counts = [keeper.collect(90 * day) for keeper in keepers]
    assert sum(counts) == 10
    assert min(counts) > 0
    assert len(store.list("claims")[0]) == 10
