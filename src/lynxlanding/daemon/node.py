"""One node: its actors, listeners and life cycle."""

import logging
import signal
import threading
import time

import pykka
import urllib3

from lynxlanding.configuration import configuration_actor, revision_reader
from lynxlanding.daemon import endpoint_targets, node_state
from lynxlanding.errors import platform as platform_errors
from lynxlanding.gateway import caller_app, http_server, peer_app, request_parser
from lynxlanding.platform import http_store
from lynxlanding.requests import attempt_monitor, endpoint_client, request_runner
from lynxlanding.routing import routing_actor

WATCH_TIMEOUT_S = 20.0
STORE_RETRY_S = 0.5
DRAIN_POLL_S = 0.05

_logger = logging.getLogger(__name__)


class Node:
    """Builds the parts of a node and runs them.

    Parameters
    ----------
    settings : DaemonSettings
        Settings of the node.
    """

    def __init__(self, settings):
        self._settings = settings
        self._stop = threading.Event()
        self._state = node_state.NodeState()
        self._store = http_store.HttpObjectStore(
            settings.platform.object_api, urllib3.PoolManager(maxsize=16)
        )
        self._router = routing_actor.RoutingActor.start().proxy()
        self._configuration = configuration_actor.ConfigurationActor.start(
            revision_reader.RevisionReader(self._store), self._apply
        ).proxy()
        pool = urllib3.PoolManager(num_pools=4000, maxsize=settings.requests.concurrency)
        self._attempt_monitor = attempt_monitor.AttemptMonitor()
        client = endpoint_client.EndpointClient(pool, self._attempt_monitor)
        runner = request_runner.RequestRunner(self._router, client)
        parser = request_parser.RequestParser(settings.requests)
        self._caller_app = caller_app.CallerApp(parser, self._state, runner)
        self._peer_app = peer_app.PeerApp()

    def run(self):
        """Serve until SIGTERM or SIGINT, then drain."""
        logging.basicConfig(level=logging.WARNING)
        signal.signal(signal.SIGTERM, self._on_signal)
        signal.signal(signal.SIGINT, self._on_signal)
        listen = self._settings.listen
        limits = self._settings.requests
        servers = [
            http_server.create(self._caller_app, listen.host, listen.port, limits),
            http_server.create(self._peer_app, listen.host, listen.peer_port, limits),
        ]
        self._attempt_monitor.start()
        for server in servers:
            threading.Thread(target=server.run, daemon=True).start()
        threading.Thread(target=self._watch_configuration, daemon=True).start()
        self._stop.wait()
        self._drain()
        for server in servers:
            server.close()
        pykka.ActorRegistry.stop_all(timeout=2)

    def _on_signal(self, number, frame):
        del number, frame
        self._stop.set()

    def _drain(self):
        drain = self._settings.drain
        self._state.begin_drain()
        time.sleep(drain.unready_s)
        self._state.refuse_requests()
        deadline = time.monotonic() + drain.limit_s
        while self._state.in_flight > 0 and time.monotonic() < deadline:
            time.sleep(DRAIN_POLL_S)

    def _apply(self, snapshot):
        self._router.set_endpoints(endpoint_targets.from_snapshot(snapshot)).get()
        self._state.set_configuration(snapshot)

    def _watch_configuration(self):
        version = 0
        while not self._stop.is_set():
            self._configuration.refresh().get()
            try:
                batch = self._store.watch(configuration_actor.HEAD_KIND, version, WATCH_TIMEOUT_S)
                version = batch.version
            except platform_errors.WatchExpired:
                version = self._current_version()
            except platform_errors.PlatformError as e:
                _logger.warning("configuration watch failed: %s", e)
                time.sleep(STORE_RETRY_S)

    def _current_version(self):
        try:
            return self._store.list(configuration_actor.HEAD_KIND)[1]
        except platform_errors.PlatformError as e:
            _logger.warning("cannot list the configuration head: %s", e)
            return 0
