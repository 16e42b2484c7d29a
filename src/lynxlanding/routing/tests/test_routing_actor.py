import json
import math
import time

import pytest

from lynxlanding.groups import group_endpoint
from lynxlanding.requests import caller_request
from lynxlanding.routing import endpoint_poller, poll_result, prefix, routing_actor
from lynxlanding.routing.tests import view_factories

A, B = view_factories.make_addresses(2)
TARGET = (caller_request.MODEL, "m")


def _request(request_id="r1", prompt=b""):
    return caller_request.CallerRequest(
        request_id,
        "w",
        *TARGET,
        "POST",
        "/v1/completions",
        {},
        b"",
        0.0,
        math.inf,
        True,
        None,
        5,
        True,
        prompt,
    )


@pytest.fixture
def router():
    reference = routing_actor.RoutingActor.start()
    yield reference.proxy()
    reference.stop()


def test_requests_of_removed_endpoint_are_still_counted(router):
    """Guards against releasing a VM with requests in flight after the removal of its group."""
    router.set_group_endpoints(
        [group_endpoint.GroupEndpoint(A, "m", "g", math.inf)], frozenset()
    ).get()
    assert router.choose(_request()).get() == A
    router.set_group_endpoints([], frozenset([A])).get()
    assert router.choose(_request("r2")).get() is None
    assert router.in_flight().get() == {A: 1}
    router.end_attempt("r1", A, failed=False).get()
    assert router.in_flight().get() == {}


def test_group_is_not_used_after_its_evidence_expired(router):
    """Guards against a paused node that routes by evidence that has expired during the pause."""
    valid_until = time.monotonic() + 0.2
    endpoint = group_endpoint.GroupEndpoint(A, "m", "g", valid_until)
    router.set_group_endpoints([endpoint], frozenset()).get()
    assert router.choose(_request()).get() == A
    time.sleep(max(0.0, valid_until - time.monotonic()) + 0.01)
    assert router.choose(_request("r2")).get() is None


def test_leaving_endpoint_is_used_again_after_an_accepted_change(router):
    """Guards against an endpoint that stays unused after its drain was cancelled."""
    router.set_endpoints({TARGET: [A]}).get()
    router.set_group_endpoints([], frozenset([A])).get()
    assert router.choose(_request()).get() is None
    router.set_group_endpoints([], frozenset()).get()
    assert router.choose(_request()).get() == A


def test_unreachable_endpoint_is_avoided(router):
    """Guards against failed polls that have no effect on routing."""
    router.set_endpoints({TARGET: [A, B]}).get()
    for _ in range(3):
        router.apply_poll_results([poll_result.PollResult(A, is_reachable=False)]).get()
    chosen = {router.choose(_request(f"r{number}")).get() for number in range(20)}
    assert chosen == {B}


def test_prompt_key_equals_the_key_of_cache_events():
    """Guards against keys of prompts that never match the cache events of engines."""
    text = "Quote for «arpa» " + "x" * 400
    expected = prefix.prefix_key(text[: prefix.PREFIX_CHARACTERS])
    assert prefix.prefix_key_from_json(json.dumps(text).encode()) == expected
    messages = json.dumps([{"role": "user", "content": text}])
    assert prefix.prefix_key_from_json(messages.encode()) == prefix.prefix_key(messages)
    assert prefix.prefix_key_from_json(b"") is None


@pytest.mark.parametrize(
    "document", [None, [], {}, {"instance": "i", "slots": "many", "running": 0, "queued": 0}]
)
def test_malformed_reports_are_ignored(document):
    """Guards against an endpoint whose malformed report stops the polls of all others."""
    assert endpoint_poller.parse_load_report(A, document, 1.0, 1.0) is None
    assert endpoint_poller.parse_cache_report(A, document, "i") is None


def test_report_age_is_bounded():
    """Guards against ignoring all reports of an endpoint whose clock differs."""
    document = {"instance": "i", "slots": 8, "running": 1, "queued": 2, "reported_at": 2000.0}
    assert endpoint_poller.parse_load_report(A, document, 50.0, 1000.0).measured_at == 50.0
    assert endpoint_poller.parse_load_report(A, document, 50.0, 2000.5).measured_at == 49.5
