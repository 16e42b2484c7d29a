"""OpenTelemetry metrics of a node that runs on the users' platform."""

import prometheus_client
from opentelemetry.exporter import prometheus as otel_prometheus
from opentelemetry.sdk import metrics as sdk_metrics
from opentelemetry.sdk import resources

from lynxlanding.observability import metrics

FIRST_EVENT_BUCKETS_S = (0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.5, 0.75, 1.0, 2.0, 5.0)


class NodeMetrics:
    """Request counter and latency histograms of one node, in a registry of their own.

    Parameters
    ----------
    node_id, data_centre : str
        Resource attributes of the exported metrics.
    """

    def __init__(self, node_id, data_centre):
        self._registry = prometheus_client.CollectorRegistry()
        provider = sdk_metrics.MeterProvider(
            [otel_prometheus.PrometheusMetricReader(registry=self._registry)],
            resource=resources.Resource.create(
                {
                    "service.name": "lynxlandingd",
                    "service.instance.id": node_id,
                    "data_centre": data_centre,
                }
            ),
            views=[
                metrics.histogram_view("lynxlanding_first_event_seconds", FIRST_EVENT_BUCKETS_S),
                metrics.histogram_view(
                    "lynxlanding_request_duration_seconds", metrics.DURATION_BUCKETS_S
                ),
            ],
            shutdown_on_exit=False,
        )
        self._meter = provider.get_meter("lynxlanding")
        self._requests = self._meter.create_counter(
            "lynxlanding_requests", description="Finished requests."
        )
        self._first_event = self._meter.create_histogram(
            "lynxlanding_first_event_seconds",
            description="Time from arrival to the first event of a stream.",
        )
        self._duration = self._meter.create_histogram(
            "lynxlanding_request_duration_seconds", description="Time from arrival to the end."
        )

    def record_request(self, service, result, status, duration_s, first_event_s):
        """Update the counter and histograms with a finished request."""
        labels = {"service": service or metrics.UNKNOWN_LABEL}
        self._requests.add(1, {**labels, "result": result, "status": status})
        self._duration.record(duration_s, labels)
        if first_event_s is not None:
            self._first_event.record(first_event_s, labels)

    def add_gauge(self, name, description, callback):
        """Add a gauge whose value ``callback()`` returns at each scrape."""
        metrics.add_gauge(self._meter, name, description, callback)

    def add_labelled_gauge(self, name, description, callback):
        """Add a gauge; ``callback()`` returns pairs of a value and its labels at each scrape."""
        metrics.add_labelled_gauge(self._meter, name, description, callback)

    def render(self):
        """Return the content type and body of a response to a scrape."""
        return (
            prometheus_client.CONTENT_TYPE_LATEST,
            prometheus_client.generate_latest(self._registry),
        )
