"""WSGI applications for the platform's readiness check and for metrics."""


class ReadyApp:
    """Says whether new callers should be sent to the node.

    Parameters
    ----------
    view : NodeView
        Readiness of the node.
    path : str
        Path of the check.
    """

    def __init__(self, view, path):
        self._view = view
        self._path = path

    def __call__(self, environ, start_response):
        """Answer the platform's check; other paths are unknown."""
        if environ.get("PATH_INFO") != self._path:
            start_response("404 Not Found", [("Content-Length", "0")])
            return [b""]
        status = "200 OK" if self._view.is_ready else "503 Service Unavailable"
        start_response(status, [("Content-Length", "0")])
        return [b""]


class MetricsApp:
    """Serves the counters and histograms as text.

    Parameters
    ----------
    metrics : NodeMetrics
        Metrics of the node.
    """

    def __init__(self, metrics):
        self._metrics = metrics

    def __call__(self, environ, start_response):
        """Answer a scrape."""
        del environ
        content_type, body = self._metrics.render()
        headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
        start_response("200 OK", headers)
        return [body]
