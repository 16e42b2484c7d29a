"""``lynxctl explain`` must find the cause of a failed request from the log lines alone."""

import json
import random

import eliot
import pytest
from click import testing

from lynxlanding.dispatch import dispatch_decision, request_logger, stall_tracker
from lynxlanding.dispatch.tests import dispatch_factories, test_request_forwarder
from lynxlanding.errors import endpoint as endpoint_errors
from lynxlanding.errors import request as request_errors
from lynxlanding.fleet import endpoint_change
from lynxlanding.gateway import stream_aborted
from lynxlanding.node import endpoint_handler, node_status, proxy_app
from lynxlanding.operators import lynxctl, request_timeline


class StubRequestMetrics:
    def record_request(self, service, result, status, duration_s, first_event_s):
        assert result


class StubConnectionPool:
    def close_endpoint(self, endpoint_id):
        assert endpoint_id


class StubServingProxy:
    def own_load(self):
        return dispatch_factories.CompletedFuture({"e0": 1})


@pytest.fixture
def log_messages():
    messages = []
    eliot.add_global_fields(node="n1")
    eliot.add_destinations(messages.append)
    yield messages
    eliot.remove_destination(messages.append)


def forward_request(endpoints, send):
    """Forward one streaming request and log its outcome like the gateway; return its id."""
    forwarder, _, _ = test_request_forwarder.make_forwarder(1, dispatch_factories.make_route())
    forwarder._request_logger = request_logger.RequestLogger(node_status.NodeStatus())
    forwarder._client = type("EndpointClient", (), {"send": staticmethod(send)})
    dispatcher, _ = dispatch_factories.make_dispatcher(endpoints)
    dispatcher.record_request("model", None, None, forwarder._request.received_at)
    forwarder._serving = test_request_forwarder.FakeServingProxy(dispatcher)
    record = proxy_app._RequestRecord("q", forwarder._request.received_at, StubRequestMetrics())
    record.set_request(forwarder._request)
    try:
        response = forwarder.forward()
        for chunk in response.stream:
            record.count_events(chunk)
        response.stream.close()
        record.finish(200, "whole")
    except request_errors.RequestError as e:
        record.finish(e.status, "refused" if e.executed == "no" else "failed", e)
    except stream_aborted.StreamAborted as e:
        record.finish(200, "broken", request_errors.EndpointFailed(str(e)))
    return "q"


def log_endpoint_removal(number):
    handler = endpoint_handler.EndpointHandler(
        StubServingProxy(), node_status.NodeStatus(), StubConnectionPool(), lambda: None
    )
    change = endpoint_change.EndpointChange(
        endpoint_change.REMOVED, dispatch_factories.make_head(number)
    )
    handler.process_changes([change], None)


def run_explain(messages, tmp_path):
    """Return what ``lynxctl explain`` prints for the logged messages."""
    path = tmp_path / "n1.log"
    path.write_text(
        "".join(f"12.5 n1 {json.dumps(message, default=str)}\n" for message in messages)
    )
    result = testing.CliRunner().invoke(lynxctl.main, ["explain", "q", str(path)])
    assert result.exit_code == 0, result.output
    return result.output


def test_refused_request_reports_missing_group(log_messages, tmp_path):
    forward_request([], None)
    output = run_explain(log_messages, tmp_path)
    assert "refused with status 503" in output
    assert "cause: refused: no open group of the model" in output


def test_truncated_stream_reports_removed_endpoint(log_messages, tmp_path):
    def send_truncated(*arguments, **options):
        def chunks():
            yield b"id: 1\ndata: x\n\n"
            raise endpoint_errors.ResponseTruncated("127.0.0.1:9000: reset by peer")

        return test_request_forwarder.FakeResponse(
            200, chunks()
        ), dispatch_factories.make_response_metadata()

    forward_request([dispatch_factories.make_head(0)], send_truncated)
    log_endpoint_removal(0)
    output = run_explain(log_messages, tmp_path)
    assert "broken with status 200" in output
    assert "request:attempt_failed" in output
    assert "reset by peer" in output
    assert "endpoint:changed" in output
    assert "change=removed" in output


def test_retried_stream_reports_stalled_endpoint(log_messages, tmp_path):
    endpoint_ids = []

    def stall_first_call(*arguments, **options):
        endpoint_ids.append(arguments[0].endpoint_id)

        def chunks():
            if len(endpoint_ids) == 1:
                raise endpoint_errors.AttemptTimedOut("127.0.0.1:9000: stalled")
            yield b"id: 1\ndata: x\n\n"

        return test_request_forwarder.FakeResponse(
            200, chunks()
        ), dispatch_factories.make_response_metadata()

    forward_request(
        [dispatch_factories.make_head(0), dispatch_factories.make_head(1)], stall_first_call
    )
    output = run_explain(log_messages, tmp_path)
    assert "whole with status 200" in output
    assert f"cause: {endpoint_ids[0]}: 127.0.0.1:9000: stalled" in output


def test_unknown_request_id_is_an_error(tmp_path):
    path = tmp_path / "empty.log"
    path.write_text("no JSON here\n{broken\n")
    result = testing.CliRunner().invoke(lynxctl.main, ["explain", "q", str(path)])
    assert result.exit_code == 3


def test_timeline_orders_nodes_by_time_and_omits_unrelated_lines():
    messages = [
        {"message_type": "lynxlanding:request:chosen", "request_id": "q", "endpoint": "e1"},
        {"message_type": "lynxlanding:domain:plan_stored", "reasons": ["g1: e1 is silent"]},
        {"message_type": "lynxlanding:domain:plan_stored", "reasons": ["g2: e7 is silent"]},
        {"message_type": "lynxlanding:request:chosen", "request_id": "other", "endpoint": "e1"},
        {"message_type": "lynxlanding:store:lost", "kind": "servers"},
    ]
    generator = random.Random(1)
    shuffled_lines = []
    for number, message in enumerate(messages):
        message.update(timestamp=100.0 + number, node="n1" if number else "n0")
        shuffled_lines.append(json.dumps(message))
    generator.shuffle(shuffled_lines)
    timeline = request_timeline.build_timeline(request_timeline.parse(shuffled_lines), "q")
    assert [line.event for line in timeline] == ["request:chosen", "domain:plan_stored"]
    assert stall_tracker.STALL_LIFETIME_S < request_timeline.CONTEXT_WINDOW_S


def test_timeline_shows_what_the_node_believed_of_the_endpoint():
    """An ignored registration and a lost feed explain a request to an endpoint that had left."""
    messages = [
        {"message_type": "lynxlanding:feed:lost", "kind": "servers"},
        {"message_type": "lynxlanding:endpoint:ignored", "endpoint": "e1", "is_leaving": True},
        {"message_type": "lynxlanding:endpoint:ignored", "endpoint": "e2", "is_leaving": True},
        {"message_type": "lynxlanding:request:chosen", "request_id": "q", "endpoint": "e1"},
        {"message_type": "lynxlanding:request:sent_late", "request_id": "q", "endpoint": "e1"},
    ]
    lines = []
    for number, message in enumerate(messages):
        message.update(timestamp=100.0 + number, node="n0")
        lines.append(json.dumps(message))
    timeline = request_timeline.build_timeline(request_timeline.parse(lines), "q")
    assert [line.event for line in timeline] == [
        "feed:lost",
        "endpoint:ignored",
        "request:chosen",
        "request:sent_late",
    ]


def make_line(timestamp, node, event, **fields):
    return json.dumps(
        {"timestamp": timestamp, "node": node, "message_type": f"lynxlanding:{event}", **fields}
    )


def test_refused_prompt_is_explained_by_the_ends_that_other_nodes_have_seen():
    """Guards against refusals for parts of prompts whose evidence is on other nodes."""
    lines = request_timeline.parse(
        [
            make_line(1.0, "n2", "endpoint:ended", endpoint="e7", prompt_parts=["a1", "bad"]),
            make_line(1.5, "n3", "endpoint:ended", endpoint="e8", prompt_parts=["c0"]),
            make_line(2.0, "n3", "prompt:quarantine_begun", prompt_parts=["bad"], source="n3"),
            make_line(2.1, "n3", "prompt:quarantine_begun", prompt_parts=["other"], source="n3"),
            make_line(3.0, "n1", "request:quarantined", request_id="q", prompt_parts=["bad"]),
            make_line(3.0, "n1", "request:finished", request_id="q", status=503, result="refused"),
        ]
    )
    timeline = request_timeline.build_timeline(lines, "q")
    assert [(line.node, line.event) for line in timeline] == [
        ("n2", "endpoint:ended"),
        ("n3", "prompt:quarantine_begun"),
        ("n1", "request:quarantined"),
        ("n1", "request:finished"),
    ]
    assert "engines crashed under ['bad']" in request_timeline.summarize_outcome(timeline, "q")


def test_refused_request_is_explained_by_the_ends_under_it_at_other_nodes():
    """Guards against refusals of a request that came again whose evidence is on other nodes."""
    digest = "3520054b0aded712"
    lines = request_timeline.parse(
        [
            make_line(1.0, "n2", "endpoint:ended", endpoint="e7", request_digests=[digest, "5"]),
            make_line(1.5, "n3", "endpoint:ended", endpoint="e8", request_digests=["5"]),
            make_line(2.0, "n3", "prompt:quarantine_begun", request_digests=[digest], source="n3"),
            make_line(2.1, "n3", "prompt:quarantine_begun", prompt_parts=[digest], source="n3"),
            make_line(3.0, "n1", "request:quarantined", request_id="q", request_digests=[digest]),
            make_line(3.0, "n1", "request:finished", request_id="q", status=503, result="refused"),
        ]
    )
    timeline = request_timeline.build_timeline(lines, "q")
    assert [(line.node, line.event) for line in timeline] == [
        ("n2", "endpoint:ended"),
        ("n3", "prompt:quarantine_begun"),
        ("n1", "request:quarantined"),
        ("n1", "request:finished"),
    ]
    summary = request_timeline.summarize_outcome(timeline, "q")
    assert f"engines crashed under ['request {digest}']" in summary


def test_request_refused_at_cold_engines_is_explained_by_what_the_node_believed():
    """Guards against a refusal by all endpoints that is explained by none of them."""
    reason = dispatch_decision.ALL_LIMITED_SOME_COLD
    lines = request_timeline.parse(
        [
            make_line(1.0, "n1", "endpoint:cold_changed", endpoint="e1", is_cold=True),
            make_line(1.0, "n2", "endpoint:cold_changed", endpoint="e2", is_cold=True),
            make_line(1.5, "n1", "endpoint:allowance_changed", endpoint="e1", allowed_per_s=0.0),
            make_line(2.0, "n1", "request:refused", request_id="q", reason=reason),
            make_line(2.0, "n1", "request:finished", request_id="q", status=503, result="refused"),
        ]
    )
    timeline = request_timeline.build_timeline(lines, "q")
    assert [(line.node, line.event) for line in timeline] == [
        ("n1", "endpoint:cold_changed"),
        ("n1", "endpoint:allowance_changed"),
        ("n1", "request:refused"),
        ("n1", "request:finished"),
    ]
    assert reason in request_timeline.summarize_outcome(timeline, "q")


def test_refusal_in_an_evacuation_shows_when_it_began():
    """Guards against a cause that is hidden because the evacuation began long before."""

    def line(timestamp, event, node="n1", **fields):
        return request_timeline.LogLine(timestamp, node, event, fields)

    lines = [
        line(100.0, "evacuation:began", data_centre="a"),
        line(110.0, "evacuation:ended", data_centre="a"),
        line(120.0, "evacuation:began", data_centre="b"),
        line(121.0, "evacuation:began", node="n2", data_centre="c"),
        line(400.0, "evacuation:began", data_centre="d"),
        line(
            405.0,
            "request:refused",
            request_id="q",
            reason="every endpoint is in an evacuated data centre",
            evacuated=["b", "d"],
        ),
        line(405.1, "request:finished", request_id="q", result="refused", status=503),
        line(405.2, "evacuation:ended", data_centre="d"),
    ]
    timeline = request_timeline.build_timeline(lines, "q")
    shown = [(item.event, item.fields.get("data_centre")) for item in timeline]
    assert shown == [
        ("evacuation:began", "b"),
        ("evacuation:began", "d"),
        ("request:refused", None),
        ("request:finished", None),
        ("evacuation:ended", "d"),
    ]
    summary = request_timeline.summarize_outcome(timeline, "q")
    assert "every endpoint is in an evacuated data centre" in summary
    restarted = [line(300.0, "node:started"), *lines]
    shown = request_timeline.build_timeline(restarted, "q")
    assert ("evacuation:began", "b") not in [
        (item.event, item.fields.get("data_centre")) for item in shown
    ]
