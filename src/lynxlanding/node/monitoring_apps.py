"""WSGI applications for the platform's readiness check and for metrics."""


class ReadinessApp:
    """Reports whether new callers should be sent to the node.

    Parameters
    ----------
    node_status : NodeStatus
        Readiness of the node.
    path : str
        Path of the readiness check.
    """

    def __init__(self, node_status, path):
        self._node_status = node_status
        self._path = path

    def __call__(self, environ, start_response):
        """Respond with 200 if the node is ready and with 503 if not; 404 for other paths."""
        if environ.get("PATH_INFO") != self._path:
            start_response("404 Not Found", [("Content-Length", "0")])
            return [b""]
        status = "200 OK" if self._node_status.is_ready else "503 Service Unavailable"
        start_response(status, [("Content-Length", "0")])
        return [b""]


class MetricsApp:
    """Serves the node's metrics as text.

    Parameters
    ----------
    metrics : DeferredMetrics
        Metrics of the node.
    """

    def __init__(self, metrics):
        self._metrics = metrics

    def __call__(self, environ, start_response):
        """Respond to a scrape."""
        del environ
        content_type, body = self._metrics.render()
        headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
        start_response("200 OK", headers)
        return [body]
