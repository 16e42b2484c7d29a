"""Metrics of a node whose library is loaded when they are first scraped."""

import dataclasses
import importlib

# Finished requests that are kept until the first scrape; with more, the library is loaded anyway.
MAX_WAITING_REQUESTS = 5000


@dataclasses.dataclass(slots=True, frozen=True)
class _FinishedRequest:
    service: str | None
    result: str
    status: str
    duration_s: float
    first_event_s: float | None


class DeferredMetrics:
    """Stands in for ``NodeMetrics`` until the first scrape.

    Importing OpenTelemetry takes a fifth of the startup time of a node, and after a power failure
    callers wait for all nodes to start.

    Parameters
    ----------
    node_id, data_centre : str
        Resource attributes of the exported metrics.
    """

    def __init__(self, node_id, data_centre):
        self._node_id = node_id
        self._data_centre = data_centre
        self._loaded = None
        self._requests = []
        self._gauges = []
        self._labelled_gauges = []

    def record_request(self, service, result, status, duration_s, first_event_s):
        """Update the counter and histograms with a finished request."""
        if self._loaded is not None:
            self._loaded.record_request(service, result, status, duration_s, first_event_s)
            return
        self._requests.append(_FinishedRequest(service, result, status, duration_s, first_event_s))
        if len(self._requests) >= MAX_WAITING_REQUESTS:
            self._load()

    def add_gauge(self, name, description, callback):
        """Add a gauge whose value ``callback()`` returns at each scrape."""
        if self._loaded is not None:
            self._loaded.add_gauge(name, description, callback)
            return
        self._gauges.append((name, description, callback))

    def add_labelled_gauge(self, name, description, callback):
        """Add a gauge; ``callback()`` returns pairs of a value and its labels at each scrape."""
        if self._loaded is not None:
            self._loaded.add_labelled_gauge(name, description, callback)
            return
        self._labelled_gauges.append((name, description, callback))

    def render(self):
        """Return the content type and body of a response to a scrape."""
        if self._loaded is None:
            self._load()
        return self._loaded.render()

    def _load(self):
        node_metrics = importlib.import_module("lynxlanding.observability.node_metrics")
        if self._loaded is not None:
            # Another thread has loaded the library during the import.
            return
        self._loaded = node_metrics.NodeMetrics(self._node_id, self._data_centre)
        for name, description, callback in self._gauges:
            self._loaded.add_gauge(name, description, callback)
        for name, description, callback in self._labelled_gauges:
            self._loaded.add_labelled_gauge(name, description, callback)
        for request in self._requests:
            self._loaded.record_request(
                request.service,
                request.result,
                request.status,
                request.duration_s,
                request.first_event_s,
            )
        self._gauges = []
        self._labelled_gauges = []
        self._requests = []
