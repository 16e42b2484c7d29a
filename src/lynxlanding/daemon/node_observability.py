"""Metrics, logs and burn counts of one node."""

import sys
import threading
import time

from lynxlanding.observability import logs, metrics, request_observer
from lynxlanding.observability.burn import burn_actor, reporter, writer


class NodeObservability:
    """Builds the observability components and periodically writes the burn counts to the store.

    Parameters
    ----------
    settings : DaemonSettings
        Settings of the node.
    store : ObjectStore
        Receives the burn counts.
    node_state : NodeState
        Provides the readiness and the number of requests in flight.
    """

    def __init__(self, settings, store, node_state):
        self._settings = settings
        self._stop = threading.Event()
        self.metrics = metrics.DaemonMetrics(settings.node_id, settings.place)
        self.metrics.install()
        self.burn_actor = burn_actor.BurnActor.start(settings.objectives, settings.place).proxy()
        self.burn_writer = writer.BurnWriter(store, settings.node_id, self.burn_actor)
        self.burn_reporter = reporter.BurnReporter(
            store, settings.node_id, self.burn_actor, self.burn_writer, settings.objectives
        )
        self.request_observer = request_observer.RequestObserver(
            self.metrics, self.burn_actor, logs, settings.objectives.token_interval.threshold_s
        )
        self.metrics.add_gauge(
            "lynxlanding_requests_in_flight",
            "Requests in flight.",
            lambda: node_state.in_flight,
        )
        self.metrics.add_gauge(
            "lynxlanding_ready",
            "1 while the balancer may send requests.",
            lambda: int(node_state.is_ready),
        )

    def start(self):
        """Configure logging and start the thread that writes the burn counts."""
        logs.configure(sys.stderr, self._settings.node_id)
        logs.log_node_event(logs.NODE_STARTED, place=self._settings.place)
        threading.Thread(target=self._write_repeatedly, daemon=True).start()

    def begin_stop(self):
        """Log that the node is stopping."""
        logs.log_node_event(logs.NODE_STOPPING, place=self._settings.place)

    def stop(self):
        """Stop the thread and write the burn counts a last time."""
        self._stop.set()
        self.burn_writer.write(time.time())

    def _write_repeatedly(self):
        # Nodes start at different times, which spreads their writes over the interval.
        while not self._stop.wait(self._settings.objectives.write_interval_s):
            self.burn_writer.write(time.time())
