"""OpenTelemetry metrics of the daemon, exported to Prometheus at ``/metrics``."""

import prometheus_client
from opentelemetry import metrics as otel_metrics
from opentelemetry.exporter import prometheus as otel_prometheus
from opentelemetry.sdk import metrics as sdk_metrics
from opentelemetry.sdk import resources
from opentelemetry.sdk.metrics import view

# The targets, 0.67 s to the first token and 25 ms between tokens, are bucket boundaries, with more
# buckets around them.
FIRST_TOKEN_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.67, 1.0, 2.0, 5.0, 10.0, 30.0)
TOKEN_INTERVAL_BUCKETS_S = (0.005, 0.01, 0.015, 0.02, 0.025, 0.03, 0.04, 0.06, 0.1, 0.25, 1.0)
DURATION_BUCKETS_S = (0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0, 600.0)
# Label value shared by all requests without a valid service or workspace: with the callers'
# own values, any caller could create time series without limit.
UNKNOWN_LABEL = "unknown"


class DaemonMetrics:
    """Metrics of one node.

    A stream is recorded once, at its end: recording every token would take several percent of a
    core at 14,600 tokens/s.

    Parameters
    ----------
    node_id, place : str
        Resource attributes of the exported metrics.
    registry : prometheus_client.CollectorRegistry, optional
        Registry to export to.
    """

    def __init__(self, node_id, place, registry=prometheus_client.REGISTRY):
        self._registry = registry
        reader = otel_prometheus.PrometheusMetricReader(registry=registry)
        self._provider = sdk_metrics.MeterProvider(
            [reader],
            resource=resources.Resource.create(
                {"service.name": "lynxlandingd", "service.instance.id": node_id, "place": place}
            ),
            views=[
                histogram_view("lynxlanding_first_token_seconds", FIRST_TOKEN_BUCKETS_S),
                histogram_view("lynxlanding_token_interval_seconds", TOKEN_INTERVAL_BUCKETS_S),
                histogram_view("lynxlanding_request_duration_seconds", DURATION_BUCKETS_S),
            ],
            shutdown_on_exit=False,
        )
        meter = self._provider.get_meter("lynxlanding")
        self._meter = meter
        self._requests = meter.create_counter(
            "lynxlanding_requests", description="Finished requests."
        )
        self._tokens = meter.create_counter(
            "lynxlanding_tokens", description="Events forwarded in streams."
        )
        self._slow_gaps = meter.create_counter(
            "lynxlanding_slow_gaps", description="Gaps between tokens above the objective."
        )
        self._first_token = meter.create_histogram(
            "lynxlanding_first_token_seconds",
            description="Time from arrival to the first event of a stream.",
        )
        self._token_interval = meter.create_histogram(
            "lynxlanding_token_interval_seconds",
            description="Mean time between the events of a stream.",
        )
        self._duration = meter.create_histogram(
            "lynxlanding_request_duration_seconds", description="Time from arrival to the end."
        )

    def install(self):
        """Register as the global meter provider, which exports the instruments of other packages.

        OpenTelemetry allows this once per process, so only the daemon calls it.
        """
        otel_metrics.set_meter_provider(self._provider)

    def record_request(self, summary):
        """Update counters and histograms with a finished request."""
        service = summary.service or UNKNOWN_LABEL
        labels = {"service": service}
        self._requests.add(
            1,
            {
                "service": service,
                "workspace": summary.workspace or UNKNOWN_LABEL,
                "result": summary.result,
                "status": summary.status,
                "error": summary.error_type,
                "executed": summary.executed,
            },
        )
        self._duration.record(summary.duration_s, labels)
        if summary.first_token_s is None:
            return
        self._first_token.record(summary.first_token_s, labels)
        self._tokens.add(summary.tokens, labels)
        self._slow_gaps.add(summary.slow_gaps, labels)
        if summary.tokens > 1:
            streaming_s = summary.duration_s - summary.first_token_s
            self._token_interval.record(streaming_s / (summary.tokens - 1), labels)

    def add_gauge(self, name, description, callback):
        """Add a gauge whose value ``callback()`` returns at each scrape."""
        add_gauge(self._meter, name, description, callback)

    def add_counter(self, name, description):
        """Return a new OpenTelemetry counter."""
        return self._meter.create_counter(name, description=description)

    def render(self):
        """Return the content type and body of a response to ``/metrics``."""
        return (
            prometheus_client.CONTENT_TYPE_LATEST,
            prometheus_client.generate_latest(self._registry),
        )


def add_gauge(meter, name, description, callback):
    """Add a gauge to a meter; ``callback()`` returns its value at each scrape."""
    add_labelled_gauge(meter, name, description, lambda: [(callback(), {})])


def add_labelled_gauge(meter, name, description, callback):
    """Add a gauge with labels; ``callback()`` returns pairs of a value and its labels."""

    def observe(options):
        del options
        return [otel_metrics.Observation(value, labels) for value, labels in callback()]

    meter.create_observable_gauge(name, [observe], description=description)


def histogram_view(name, boundaries):
    """Return a view that sets the bucket boundaries of a histogram."""
    return view.View(
        instrument_name=name, aggregation=view.ExplicitBucketHistogramAggregation(boundaries)
    )
