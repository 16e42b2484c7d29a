"""From the id of a failed request to its cause, through log lines alone."""

import json
import random

import eliot
import pytest
from click import testing

from lynxlanding.dispatch import request_logger, stall_tracker
from lynxlanding.dispatch.tests import dispatch_factories, test_request_forwarder
from lynxlanding.errors import endpoint as endpoint_errors
from lynxlanding.errors import request as request_errors
from lynxlanding.fleet import endpoint_change
from lynxlanding.gateway import stream_aborted
from lynxlanding.node import endpoint_handler, node_status, proxy_app
from lynxlanding.operators import lynxctl, request_timeline


class Metrics:
    def record(self, service, result, status, duration_s, first_event_s):
        assert result


class Pool:
    def close_endpoint(self, endpoint_id):
        assert endpoint_id


@pytest.fixture
def lines():
    collected = []
    eliot.add_global_fields(node="n1")
    eliot.add_destinations(collected.append)
    yield collected
    eliot.remove_destination(collected.append)


def play(records, open_endpoint):
    """Run one streamed request as the gateway does; return its id."""
    run, _, made = test_request_forwarder.make_forwarder(1, dispatch_factories.make_route())
    run._request_logger = request_logger.RequestLogger(node_status.NodeStatus())
    run._client = type("EndpointClient", (), {"send": staticmethod(open_endpoint)})
    made, _ = dispatch_factories.make_dispatcher(records)
    made.record_request("model", None, None, run._request.received_at)
    run._serving = test_request_forwarder.FakeServingProxy(made)
    record = proxy_app._RequestRecord("q", run._request.received_at, Metrics())
    record.set_request(run._request)
    try:
        reply = run.forward()
        for chunk in reply.stream:
            record.count_events(chunk)
        reply.stream.close()
        record.finish(200, "whole")
    except request_errors.RequestError as e:
        record.finish(e.status, "refused" if e.executed == "no" else "failed", e)
    except stream_aborted.StreamAborted as e:
        record.finish(200, "broken", request_errors.EndpointFailed(str(e)))
    return "q"


def report_removed(number):
    handler = endpoint_handler.EndpointHandler(None, node_status.NodeStatus(), Pool(), lambda: None)
    change = endpoint_change.EndpointChange(
        endpoint_change.REMOVED, dispatch_factories.make_head(number)
    )
    handler.process_changes([change], None)


def explain(collected, tmp_path):
    """Return what ``lynxctl explain`` prints for the collected lines."""
    path = tmp_path / "n1.log"
    path.write_text("".join(f"12.5 n1 {json.dumps(line, default=str)}\n" for line in collected))
    result = testing.CliRunner().invoke(lynxctl.main, ["explain", "q", str(path)])
    assert result.exit_code == 0, result.output
    return result.output


def test_a_refused_request_names_the_missing_group(lines, tmp_path):
    play([], None)
    output = explain(lines, tmp_path)
    assert "refused with status 503" in output
    assert "cause: refused: no open group of the model" in output


def test_a_cut_stream_names_the_lost_endpoint(lines, tmp_path):
    def broken(*arguments, **options):
        def chunks():
            yield b"id: 1\ndata: x\n\n"
            raise endpoint_errors.ResponseTruncated("127.0.0.1:9000: reset by peer")

        return test_request_forwarder.FakeResponse(
            200, chunks()
        ), test_request_forwarder.make_response_metadata()

    play([dispatch_factories.make_head(0)], broken)
    report_removed(0)
    output = explain(lines, tmp_path)
    assert "broken with status 200" in output
    assert "request:attempt_failed" in output
    assert "reset by peer" in output
    assert "endpoint:changed" in output
    assert "change=removed" in output


def test_a_late_stream_names_the_stalled_group(lines, tmp_path):
    seen = []

    def stalls_once(*arguments, **options):
        seen.append(arguments[0].endpoint_id)

        def chunks():
            if len(seen) == 1:
                raise endpoint_errors.AttemptTimedOut("127.0.0.1:9000: stalled")
            yield b"id: 1\ndata: x\n\n"

        return test_request_forwarder.FakeResponse(
            200, chunks()
        ), test_request_forwarder.make_response_metadata()

    play([dispatch_factories.make_head(0), dispatch_factories.make_head(1)], stalls_once)
    output = explain(lines, tmp_path)
    assert "whole with status 200" in output
    assert f"cause: {seen[0]}: 127.0.0.1:9000: stalled" in output


def test_an_unknown_id_is_said_to_be_unknown(tmp_path):
    path = tmp_path / "empty.log"
    path.write_text("no JSON here\n{broken\n")
    result = testing.CliRunner().invoke(lynxctl.main, ["explain", "q", str(path)])
    assert result.exit_code == 3


def test_lines_of_several_nodes_are_ordered_and_unrelated_ones_left_out():
    raw = [
        {"message_type": "lynxlanding:request:chosen", "request_id": "q", "endpoint": "e1"},
        {"message_type": "lynxlanding:domain:plan_stored", "reasons": ["g1: e1 is silent"]},
        {"message_type": "lynxlanding:domain:plan_stored", "reasons": ["g2: e7 is silent"]},
        {"message_type": "lynxlanding:request:chosen", "request_id": "other", "endpoint": "e1"},
        {"message_type": "lynxlanding:store:lost", "kind": "servers"},
    ]
    random_state = random.Random(1)
    text = []
    for number, item in enumerate(raw):
        item.update(timestamp=100.0 + number, node="n1" if number else "n0")
        text.append(json.dumps(item))
    random_state.shuffle(text)
    story = request_timeline.tell(request_timeline.parse(text), "q")
    assert [line.event for line in story] == ["request:chosen", "domain:plan_stored"]
    assert stall_tracker.STALL_LIFETIME_S < request_timeline.CONTEXT_S
