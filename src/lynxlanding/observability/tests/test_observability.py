import io
import json

import eliot
import prometheus_client

from lynxlanding.observability import logs, metrics, request_observer, request_summary


class _Actor:
    def __init__(self):
        self.summaries = []

    def record_request(self, summary, now):
        self.summaries.append(summary)


def _observer(actor, registry=None):
    node_metrics = metrics.Metrics("n1", "east", registry or prometheus_client.CollectorRegistry())
    return request_observer.RequestObserver(node_metrics, actor, logs, 0.025), node_metrics


def test_summary_of_a_stream():
    actor = _Actor()
    observer, _ = _observer(actor)
    timer = observer.begin("r1")
    timer.identify("w", "desk", True)
    timer.on_status(200)
    start = timer._started_at
    timer.on_chunk(b"id: 0\ndata: a\n\n", start + 0.2)
    # Two events arrive at once after a slow gap: one of the two gaps was slow.
    timer.on_chunk(b"id: 1\ndata: b\n\nid: 2\ndata: c\n\n", start + 0.3)
    timer.on_chunk(b"id: 3\ndata: d\n\ndata: [DONE]\n\n", start + 0.31)
    observer.end(timer, request_summary.WHOLE)
    (summary,) = actor.summaries
    assert (summary.tokens, summary.slow_gaps) == (4, 1)
    assert abs(summary.first_token_s - 0.2) < 1e-9


def test_metrics_page():
    """Guards against metrics that do not reach the page that Prometheus reads."""
    observer, node_metrics = _observer(_Actor())
    node_metrics.add_gauge("lynxlanding_revision", "Revision in effect.", lambda: 7)
    timer = observer.begin("r1")
    timer.identify("w", "desk", True)
    timer.on_status(200)
    timer.on_chunk(b"a\n\n", timer._started_at + 0.1)
    observer.end(timer, request_summary.WHOLE)
    content_type, body = node_metrics.render()
    page = body.decode()
    assert content_type.startswith("text/plain")
    assert "lynxlanding_revision" in page
    assert "lynxlanding_requests_total{" in page
    assert "lynxlanding_first_token_seconds_bucket" in page
    assert 'service="desk"' in page


def test_log_record_of_a_request():
    """Guards against records without the request's identity."""
    stream = io.StringIO()
    destination = eliot.FileDestination(file=stream)
    eliot.add_destinations(destination)
    try:
        observer, _ = _observer(_Actor())
        timer = observer.begin("r-17")
        timer.identify("w", "desk", False)
        observer.end(timer, request_summary.REFUSED, "overloaded", "no")
    finally:
        eliot.remove_destination(destination)
    # eliot first hands over the records that were made before there was a destination.
    record = json.loads(stream.getvalue().splitlines()[-1])
    assert record["message_type"] == logs.REQUEST_FINISHED
    assert (record["request_id"], record["error"]) == ("r-17", "overloaded")
