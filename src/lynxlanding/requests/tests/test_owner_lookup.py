import json
import threading
import wsgiref.simple_server

import pytest
import urllib3

from lynxlanding.gateway import claim_app
from lynxlanding.requests import (
    claim_events,
    claim_record,
    node_identity,
    owner_lookup,
    recorded_response,
)

RESPONSE = recorded_response.make_recorded_response(
    200, [("content-type", "text/plain")], b"\x00booked"
)
OUTCOMES = {
    "done": claim_events.OwnerAnswered(claim_record.DONE, RESPONSE),
    "running": claim_events.OwnerAnswered(claim_events.PENDING),
    "released": claim_events.OwnerAnswered(claim_record.NOT_RUN),
    "broken": claim_events.OwnerAnswered(claim_record.UNKNOWN),
    "old": claim_events.OwnerAnswered(claim_events.FORGOTTEN),
}


class FakeClaims:
    """The methods of a claim manager that ``ClaimApp`` uses."""

    def __init__(self):
        self.identity = None
        self.waits = []

    def outcome(self, token, wait_s):
        self.waits.append(wait_s)
        return OUTCOMES[token]


class QuietHandler(wsgiref.simple_server.WSGIRequestHandler):
    def log_message(self, *arguments):
        del arguments


@pytest.fixture
def claims():
    fake_claims = FakeClaims()
    server = wsgiref.simple_server.make_server(
        "127.0.0.1", 0, claim_app.ClaimApp(fake_claims), handler_class=QuietHandler
    )
    fake_claims.identity = node_identity.NodeIdentity("n1", "1", f"127.0.0.1:{server.server_port}")
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    yield fake_claims
    server.shutdown()
    thread.join()
    server.server_close()


@pytest.fixture
def lookup():
    return owner_lookup.HttpOwnerLookup(urllib3.PoolManager())


@pytest.mark.parametrize("token", list(OUTCOMES))
def test_outcome_reaches_the_other_node(claims, lookup, token):
    """Guards against outcomes that change during encoding and decoding between nodes."""
    assert lookup.ask(claims.identity, token, 2.0) == OUTCOMES[token]
    assert claims.waits == [1.5]


def test_restarted_owner_is_dead(claims, lookup):
    """Guards against waiting for a process that was replaced by a restart."""
    earlier_run = node_identity.NodeIdentity("n1", "0", claims.identity.address)
    assert lookup.ask(earlier_run, "done", 2.0).outcome == claim_events.DEAD


def test_owner_with_closed_port_is_dead(lookup):
    """Guards against waiting for a node whose process has ended."""
    ended = node_identity.NodeIdentity("n1", "1", "127.0.0.1:1")
    assert lookup.ask(ended, "done", 2.0).outcome == claim_events.DEAD


@pytest.mark.parametrize(
    "body", [b"", b"[]", b'{"incarnation": "1"}', json.dumps({"incarnation": "1"}).encode()]
)
def test_malformed_response_is_unreachable(body):
    """Guards against treating a malformed response as a released claim."""
    owner = node_identity.NodeIdentity("n1", "1", "127.0.0.1:1")
    assert owner_lookup.decode(body, owner).outcome == claim_events.UNREACHABLE
