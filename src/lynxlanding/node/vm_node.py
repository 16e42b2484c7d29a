"""One node on the users' platform: its parts and its life cycle."""

import logging
import os
import random
import signal
import threading
import time

import eliot
import pykka
from eliot import stdlib

from lynxlanding.dispatch import (
    connection_pool,
    dispatcher,
    exchange,
    request_journal,
    serving_actor,
    stall_board,
)
from lynxlanding.errors import settings as settings_errors
from lynxlanding.fleet import registry as fleet_registry
from lynxlanding.gateway import http_server
from lynxlanding.node import (
    configuration_handler,
    endpoint_handler,
    front_app,
    node_view,
    probe_app,
    request_reader,
    stop_plan,
    store_follower,
)
from lynxlanding.observability import bounded_log, guarded_thread, node_metrics
from lynxlanding.peers import (
    node_directory,
    node_identity,
    node_state,
    peer_exchange,
    peer_table,
    peer_view,
)
from lynxlanding.platform import (
    configuration_codec,
    endpoint_codec,
    engine_client,
    object_client,
    paths,
    request_headers,
    sockets,
)
from lynxlanding.replicas import group_director
from lynxlanding.requests import attempt_monitor
from lynxlanding.settings import loading, vm_settings

EXPIRY_INTERVAL_S = 0.2
# Pauses between events of more than 200 ms are late for callers.
CHECK_INTERVAL_S = 0.02
# Changes of endpoints are collected for this long; leaving endpoints must get no requests 2 s
# after they said so. A node that is changing groups waits for each step.
WATCH_PAUSE_S = 0.4
PLANNING_PAUSE_S = 0.05
DRAIN_POLL_S = 0.05
LOG_FLUSH_S = 0.5

STARTED = "lynxlanding:node:started"
STOPPING = "lynxlanding:node:stopping"
STOPPED = "lynxlanding:node:stopped"
RELOADED = "lynxlanding:node:reloaded"

_logger = logging.getLogger(__name__)


class VmNode:
    """Builds the parts of a node and runs them.

    Parameters
    ----------
    settings : VmSettings
        Checked settings.
    path : str
        File that the settings came from; read again on SIGHUP.
    listener : socket, optional
        Listens at the callers' address already.
    """

    def __init__(self, settings, path, listener=None):
        self._settings = settings
        self._path = path
        self._listener = listener
        self._stop = threading.Event()
        self._reload = threading.Event()
        self._random_state = random.Random()
        self._view = node_view.NodeView()
        self._log = bounded_log.BoundedLog()
        self._metrics = node_metrics.NodeMetrics(settings.node_id, settings.data_centre)
        self._pool = connection_pool.ConnectionPool(sockets.OPTIONS)
        self._monitor = attempt_monitor.AttemptMonitor(CHECK_INTERVAL_S)
        self._stalls = stall_board.StallBoard()
        self._peer_view = peer_view.PeerView(self._stalls)
        self._identity = node_identity.NodeIdentity(
            settings.node_id, time.time_ns(), settings.listen.peers, settings.data_centre
        )
        self._table = peer_table.PeerTable(settings.node_id)
        self._serving = self._start_serving().proxy()
        self._store = object_client.PlatformObjectStore(settings.store_address)
        self._director = group_director.GroupDirector(
            settings.node_id,
            self._store,
            engine_client.PlatformEngineClient(),
            self._read_fleet,
            self._live_nodes,
            self._has_traffic,
            self._read_stalled,
            self._read_busy_groups,
            self._read_loading,
            settings.groups,
        )
        self._endpoint_handler = endpoint_handler.EndpointHandler(
            self._serving, self._view, self._pool, self._on_endpoints_changed
        )
        self._followers = self._make_followers()
        self._exchange = peer_exchange.PeerExchange(
            self._identity, self._table, self._build_state, self._on_report, self._random_state
        )
        self._directory = node_directory.NodeDirectory(
            self._store, self._identity, self._table, self._on_node_count
        )
        self._file_changed_at = None

    def run(self):
        """Serve until SIGTERM or SIGINT, then drain."""
        eliot.add_global_fields(node=self._settings.node_id)
        self._log.start()
        logging.getLogger().addHandler(stdlib.EliotHandler())
        logging.getLogger().setLevel(logging.WARNING)
        signal.signal(signal.SIGTERM, self._on_stop)
        signal.signal(signal.SIGINT, self._on_stop)
        signal.signal(signal.SIGHUP, self._on_reload)
        self._add_gauges()
        servers = self._make_servers()
        for server in servers:
            guarded_thread.start(server.run, "http server")
        self._monitor.start()
        for follower in self._followers:
            follower.start()
        self._directory.start()
        self._exchange.start()
        self._director.start()
        guarded_thread.start(self._keep_time, "upkeep")
        eliot.log_message(
            message_type=STARTED,
            data_centre=self._settings.data_centre,
            incarnation=self._identity.incarnation,
            is_first_start=self._settings.is_first_start,
        )
        self._stop.wait()
        self._drain(servers)

    def _start_serving(self):
        settings = self._settings
        limits = (
            settings.requests.repeat_ratio,
            settings.requests.repeat_slack,
            settings.requests.repeat_window_s,
        )
        registry = fleet_registry.EndpointRegistry()
        decisions = dispatcher.Dispatcher(
            settings.data_centre, registry, limits, self._stalls, self._random_state
        )
        return serving_actor.ServingActor.start(registry, decisions)

    def _make_followers(self):
        configuration = configuration_handler.ConfigurationHandler(
            self._serving, self._view, self._director.use_configuration
        )
        return [
            store_follower.StoreFollower(self._store, configuration_codec.KIND, configuration),
            store_follower.StoreFollower(
                self._store, endpoint_codec.KIND, self._endpoint_handler, self._watch_pause
            ),
        ]

    def _make_servers(self):
        settings = self._settings
        reader = request_reader.RequestReader(self._view, request_headers, self._random_state)
        app = front_app.FrontApp(
            reader,
            self._view,
            self._serving,
            exchange.Exchange(self._pool, self._monitor, request_headers, self._stalls),
            request_headers,
            self._stalls,
            request_journal.RequestJournal(self._view),
            self._metrics,
        )
        servers = [
            _serve(app, settings.listen.callers, settings.requests.concurrency, self._listener),
            _serve(probe_app.ReadyApp(self._view, paths.READY), settings.listen.readiness, 2),
        ]
        if settings.listen.metrics is not None:
            servers.append(_serve(probe_app.MetricsApp(self._metrics), settings.listen.metrics, 2))
        return servers

    def _watch_pause(self):
        return PLANNING_PAUSE_S if self._director.is_busy else WATCH_PAUSE_S

    def _read_fleet(self):
        return self._serving.records().get()

    def _live_nodes(self):
        return self._table.live(time.monotonic())

    def _on_endpoints_changed(self):
        self._director.wake()

    def _on_node_count(self, nodes):
        self._serving.use_node_count(nodes)

    def _has_traffic(self):
        # After a restart nothing shows whether requests arrived before.
        has_begun = self._view.has_traffic or self._peer_view.has_traffic
        return has_begun or not self._settings.is_first_start

    def _read_stalled(self):
        return self._stalls.all(time.monotonic())

    def _read_busy_groups(self):
        now = time.monotonic()
        own = self._serving.busy_groups(now).get()
        return self._peer_view.add_busy_groups(own, self._table.live(now))

    def _read_loading(self):
        return self._peer_view.loading(self._table.live(time.monotonic()))

    def _build_state(self):
        now = time.monotonic()
        return node_state.NodeState(
            self._serving.own_load().get(),
            self._stalls.own(now),
            self._view.configuration_version or 0,
            self._view.has_traffic or self._peer_view.has_traffic,
            self._serving.busy_groups(now).get(),
            self._director.loading,
        )

    def _on_report(self, report, now):
        counts = self._peer_view.apply(report, now)
        if report.stalled:
            self._director.wake()
        self._serving.apply_peer_load(report.node_id, counts, now)

    def _keep_time(self):
        while not self._stop.wait(EXPIRY_INTERVAL_S):
            now = time.monotonic()
            self._endpoint_handler.report(self._serving.expire(now).get(), None)
            self._pool.close_idle(now)
            records, _ = self._serving.records().get()
            self._peer_view.use_endpoints(records)
            if self._reload.is_set() or self._has_file_changed():
                self._reload.clear()
                self._load_settings()

    def _has_file_changed(self):
        try:
            changed_at = os.stat(self._path).st_mtime_ns
        except OSError as e:
            _logger.warning("the settings file cannot be read: %s", e)
            return False
        if self._file_changed_at is None:
            self._file_changed_at = changed_at
        if changed_at == self._file_changed_at:
            return False
        self._file_changed_at = changed_at
        return True

    def _load_settings(self):
        """Use the settings that can change in a running process; addresses need a restart."""
        try:
            settings = loading.load(self._path, vm_settings.VmSettings)
        except settings_errors.SettingsError as e:
            _logger.error("the settings were not reloaded: %s", e)
            return
        eliot.log_message(message_type=RELOADED, is_changed=settings != self._settings)
        self._settings = settings
        requests = settings.requests
        self._serving.use_retry_limits(
            (requests.repeat_ratio, requests.repeat_slack, requests.repeat_window_s)
        )

    def _add_gauges(self):
        self._metrics.add_gauge(
            "lynxlanding_requests_in_flight", "Requests in progress.", lambda: self._view.in_flight
        )
        self._metrics.add_gauge(
            "lynxlanding_log_lines_dropped",
            "Log lines dropped to bound their volume.",
            lambda: self._log.dropped_total,
        )
        self._metrics.add_gauge(
            "lynxlanding_configuration_version",
            "Version of the configuration in force.",
            lambda: self._view.configuration_version or 0,
        )

    def _on_stop(self, number, frame):
        del number, frame
        self._stop.set()

    def _on_reload(self, number, frame):
        del number, frame
        self._reload.set()

    def _drain(self, servers):
        started_at = time.monotonic()
        plan = stop_plan.StopPlan(started_at, self._settings.stop.grace_s)
        self._view.begin_stop()
        eliot.log_message(message_type=STOPPING, in_flight=self._view.in_flight)
        self._director.stop()
        while True:
            now = time.monotonic()
            if not plan.accepts_requests(now):
                self._view.refuse_requests()
            busy = max(self._view.in_flight, http_server.count_busy_connections(servers[0]))
            if plan.is_over(now, busy):
                break
            time.sleep(DRAIN_POLL_S)
        eliot.log_message(
            message_type=STOPPED,
            in_flight=self._view.in_flight,
            duration_s=round(time.monotonic() - started_at, 3),
        )
        self._exchange.stop()
        self._directory.stop()
        for follower in self._followers:
            follower.stop()
        for server in servers:
            server.close()
        self._log.flush(LOG_FLUSH_S)
        pykka.ActorRegistry.stop_all(block=False)
        # Threads that wait for the platform would hold up the end of the process.
        os._exit(0)


def _serve(app, address, concurrency, listener=None):
    host, _, port = address.rpartition(":")
    limits = vm_settings.ServerLimits(concurrency)
    return http_server.create(app, host, int(port), limits, listener)
