"""One node: its actors, listeners and life cycle."""

import logging
import signal
import threading
import time
import uuid

import numpy as np
import pykka
import urllib3

from lynxlanding.configuration import configuration_actor, revision_reader
from lynxlanding.daemon import domain_wiring, endpoint_targets, node_state
from lynxlanding.errors import platform as platform_errors
from lynxlanding.gateway import caller_app, claim_app, http_server, peer_app, request_parser
from lynxlanding.platform import http_store
from lynxlanding.requests import (
    attempt_monitor,
    claim_keeper,
    endpoint_client,
    node_identity,
    owner_lookup,
    request_runner,
)
from lynxlanding.retry import retry_actor
from lynxlanding.routing import routing_actor

WATCH_TIMEOUT_S = 20.0
STORE_RETRY_S = 0.5
DRAIN_POLL_S = 0.05
# Outcomes that are not in the store when the process ends are lost to repeats, which then get
# executed: unknown; a normal write takes milliseconds.
OUTCOMES_LIMIT_S = 30.0
COLLECTION_INTERVAL_S = 3600.0

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
        self._domain_loop = domain_wiring.make_loop(settings, self._store, self._router)
        self._configuration = configuration_actor.ConfigurationActor.start(
            revision_reader.RevisionReader(self._store), self._apply
        ).proxy()
        pool = urllib3.PoolManager(num_pools=4000, maxsize=settings.requests.concurrency)
        self._random_state = np.random.default_rng(settings.seed)
        self._claims = self._make_claims(settings)
        self._attempt_monitor = attempt_monitor.AttemptMonitor()
        runner = request_runner.RequestRunner(
            self._router,
            endpoint_client.EndpointClient(pool, self._attempt_monitor),
            retry_actor.RetryActor.start().proxy(),
            self._claims,
            settings.requests.stall_timeout_s,
        )
        parser = request_parser.RequestParser(settings.requests)
        self._caller_app = caller_app.CallerApp(parser, self._state, runner)
        self._peer_app = peer_app.PeerApp()
        self._peer_app.register(owner_lookup.PATH, claim_app.ClaimApp(self._claims))

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
        threading.Thread(target=self._collect_claims, daemon=True).start()
        self._domain_loop.start()
        self._stop.wait()
        self._drain()
        self._domain_loop.stop()
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
        remaining = self._claims.wait_written(OUTCOMES_LIMIT_S)
        if remaining:
            _logger.warning("%d outcomes of keyed requests were not written", remaining)

    def _make_claims(self, settings):
        identity = node_identity.NodeIdentity(
            settings.node_id,
            uuid.uuid4().hex,
            f"{settings.listen.host}:{settings.listen.peer_port}",
        )
        return claim_keeper.ClaimKeeper(
            self._store,
            identity,
            owner_lookup.HttpOwnerLookup(urllib3.PoolManager(maxsize=16)),
            settings.requests.claim_writes_per_s,
            self._random_state,
            nodes=1 + len(settings.membership.peers),
        )

    def _collect_claims(self):
        # Spread over the interval, because each run lists all claims.
        wait_s = self._random_state.uniform(0.0, COLLECTION_INTERVAL_S)
        while not self._stop.wait(wait_s):
            self._claims.collect(time.time())
            wait_s = COLLECTION_INTERVAL_S

    def _apply(self, snapshot):
        self._router.set_endpoints(endpoint_targets.from_snapshot(snapshot)).get()
        self._domain_loop.set_configuration(snapshot)
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
