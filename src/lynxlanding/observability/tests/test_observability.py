import io
import json

import eliot
import prometheus_client

from lynxlanding.observability import logs, metrics, request_observer, request_summary


class _FakeBurnActor:
    def __init__(self):
        self.summaries = []

    def record_request(self, summary, now):
        self.summaries.append(summary)


def _make_observer(burn_actor, registry=None):
    daemon_metrics = metrics.DaemonMetrics(
        "n1", "east", registry or prometheus_client.CollectorRegistry()
    )
    return request_observer.RequestObserver(daemon_metrics, burn_actor, logs, 0.025), daemon_metrics


def test_summary_of_a_stream():
    burn_actor = _FakeBurnActor()
    observer, _ = _make_observer(burn_actor)
    timer = observer.begin("r1")
    timer.on_request("w", "desk", True)
    timer.on_status(200)
    arrived_at = timer._arrived_at
    timer.on_chunk(b"id: 0\ndata: a\n\n", arrived_at + 0.2)
    # Two events arrive together after a slow gap: only the gap before the first one is slow.
    timer.on_chunk(b"id: 1\ndata: b\n\nid: 2\ndata: c\n\n", arrived_at + 0.3)
    timer.on_chunk(b"id: 3\ndata: d\n\ndata: [DONE]\n\n", arrived_at + 0.31)
    observer.end(timer, request_summary.WHOLE)
    (summary,) = burn_actor.summaries
    assert (summary.tokens, summary.slow_gaps) == (4, 1)
    assert abs(summary.first_token_s - 0.2) < 1e-9


def test_metrics_are_exported():
    """Guards against metrics that are missing from the response to a Prometheus scrape."""
    observer, daemon_metrics = _make_observer(_FakeBurnActor())
    daemon_metrics.add_gauge("lynxlanding_revision", "Revision in effect.", lambda: 7)
    timer = observer.begin("r1")
    timer.on_request("w", "desk", True)
    timer.on_status(200)
    timer.on_chunk(b"a\n\n", timer._arrived_at + 0.1)
    observer.end(timer, request_summary.WHOLE)
    content_type, body = daemon_metrics.render()
    page = body.decode()
    assert content_type.startswith("text/plain")
    assert "lynxlanding_revision" in page
    assert "lynxlanding_requests_total{" in page
    assert "lynxlanding_first_token_seconds_bucket" in page
    assert 'service="desk"' in page


def test_request_log_record():
    """Guards against log records without the request's id."""
    stream = io.StringIO()
    destination = eliot.FileDestination(file=stream)
    eliot.add_destinations(destination)
    try:
        observer, _ = _make_observer(_FakeBurnActor())
        timer = observer.begin("r-17")
        timer.on_request("w", "desk", False)
        observer.end(timer, request_summary.REFUSED, "overloaded", "no")
    finally:
        eliot.remove_destination(destination)
    # eliot first delivers the messages that were buffered before a destination was added.
    record = json.loads(stream.getvalue().splitlines()[-1])
    assert record["message_type"] == logs.REQUEST_FINISHED
    assert (record["request_id"], record["error"]) == ("r-17", "overloaded")
