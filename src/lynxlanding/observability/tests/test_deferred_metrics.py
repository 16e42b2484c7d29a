import subprocess
import sys

from lynxlanding.observability import deferred_metrics


def test_requests_before_the_first_scrape_are_counted():
    """Guards against counters that miss what happened before the library was loaded."""
    metrics = deferred_metrics.DeferredMetrics("n1", "a")
    metrics.add_gauge("lynxlanding_before", "Test.", lambda: 7)
    metrics.record_request("chat", "whole", "200", 0.4, 0.1)
    metrics.render()
    metrics.record_request("chat", "whole", "200", 0.4, 0.1)
    metrics.add_gauge("lynxlanding_after", "Test.", lambda: 8)
    values = {}
    for line in metrics.render()[1].decode().splitlines():
        name, _, value = line.rpartition(" ")
        values[name.partition("{")[0]] = value
    assert values["lynxlanding_before"] == "7.0"
    assert values["lynxlanding_after"] == "8.0"
    assert values["lynxlanding_requests_total"] == "2.0"


def test_waiting_requests_are_bounded(monkeypatch):
    monkeypatch.setattr(deferred_metrics, "MAX_WAITING_REQUESTS", 3)
    metrics = deferred_metrics.DeferredMetrics("n1", "a")
    for _ in range(10):
        metrics.record_request("chat", "whole", "200", 0.4, None)
    assert metrics._requests == []
    assert b"lynxlanding_requests_total" in metrics.render()[1]


def test_a_node_starts_without_the_metrics_library():
    """Pattern: all nodes start at once, and callers wait for the imports."""
    code = (
        "import sys; from lynxlanding.node import vm_node; "
        "print([name for name in ('opentelemetry', 'prometheus_client', 'numpy', "
        "'lynxlanding.settings.daemon_settings') if name in sys.modules])"
    )
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True, timeout=60
    )
    assert result.stdout.strip() == "[]"
