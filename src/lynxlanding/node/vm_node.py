"""One node on the VM platform: construction of its components and its life cycle."""

import dataclasses
import gc
import logging
import os
import random
import signal
import threading
import time

import eliot
import pykka
from eliot import stdlib

from lynxlanding.crashes import crash_monitor, part_guard, part_log
from lynxlanding.dispatch import (
    cold_engines,
    connection_pool,
    dispatcher,
    endpoint_client,
    evacuated_endpoints,
    limit_table,
    rejection_table,
    request_allowance,
    request_logger,
    serving_actor,
    stall_tracker,
    stated_leavings,
    statement_gate,
    statement_recorder,
)
from lynxlanding.fleet import evacuated_data_centres
from lynxlanding.fleet import registry as fleet_registry
from lynxlanding.gateway import configuration_app, http_server
from lynxlanding.handover import peer_forwarder, reachability, reachability_checker
from lynxlanding.node import (
    configuration_handler,
    confirmation_checker,
    endpoint_handler,
    evacuation_handler,
    monitoring_apps,
    node_gauges,
    node_limits,
    node_status,
    peer_report_handler,
    proxy_app,
    request_reader,
    stop_plan,
    store_watcher,
)
from lynxlanding.observability import bounded_log, deferred_metrics, restarting_thread
from lynxlanding.peers import (
    change_feed,
    configuration_copies,
    copy_client,
    local_state,
    node_directory,
    peer_identity,
    peer_table,
    peer_view,
    protocol,
    report_transport,
    store_access,
)
from lynxlanding.platform import (
    configuration_codec,
    endpoint_codec,
    engine_client,
    evacuation_codec,
    health_client,
    object_client,
    paths,
    request_headers,
    sockets,
)
from lynxlanding.replicas import group_controller
from lynxlanding.requests import attempt_monitor
from lynxlanding.settings import settings_file, vm_settings
from lynxlanding.store import call_counter

MAINTENANCE_INTERVAL_S = 0.2
# Callers count a pause of more than 200 ms between events as late, so stalls must be found sooner.
ATTEMPT_CHECK_INTERVAL_S = 0.02
# Endpoint changes are batched for this long. A leaving endpoint must receive no new requests from
# 2 s after its announcement on. While the node changes groups, each step of the change waits for
# the previous one to show up in the store, so the batches are shorter.
WATCH_PAUSE_S = 0.4
REGROUPING_WATCH_PAUSE_S = 0.05
# Other nodes wait for what a relay reads.
RELAY_WATCH_PAUSE_S = 0.1
DRAIN_POLL_INTERVAL_S = 0.05
LOG_FLUSH_TIMEOUT_S = 0.5
# Other nodes that ask for the configuration are answered from memory.
PEER_CONCURRENCY = 2

NODE_STARTED = "lynxlanding:node:started"
NODE_STOPPING = "lynxlanding:node:stopping"
NODE_STOPPED = "lynxlanding:node:stopped"
NODE_RELOADED = "lynxlanding:node:reloaded"
ENDPOINTS_RETURNED = "lynxlanding:evacuation:endpoints_returned"


class VmNode:
    """Creates the components of a node and runs them.

    Parameters
    ----------
    settings : VmSettings
        Validated settings.
    path : str
        Settings file; read again on SIGHUP and when it changes.
    listener : socket, optional
        Socket that already listens on the callers' address.
    """

    def __init__(self, settings, path, listener=None):
        self._settings = settings
        self._settings_file = settings_file.SettingsFile(path)
        self._listener = listener
        self._stop_requested = threading.Event()
        self._reload_requested = threading.Event()
        self._random_state = random.Random()
        evacuations = settings.evacuations
        self._node_status = node_status.NodeStatus(needs_evacuations=evacuations.is_on)
        self._log = bounded_log.BoundedLog()
        self._metrics = deferred_metrics.DeferredMetrics(settings.node_id, settings.data_centre)
        self._caller_guard = node_limits.create_caller_guard(settings, self._node_status)
        self._reachability = reachability.Reachability(time.monotonic())
        self._pool = connection_pool.ConnectionPool(
            sockets.OPTIONS, self._reachability.record_connected
        )
        self._monitor = attempt_monitor.AttemptMonitor(ATTEMPT_CHECK_INTERVAL_S)
        self._stall_tracker = stall_tracker.StallTracker()
        self._cold_engines = cold_engines.ColdEngines(
            settings.node_id, settings.endpoints.cold_over, settings.endpoints.cold_slack
        )
        self._limit_table = limit_table.LimitTable(settings.node_id, self._cold_engines)
        self._rejections = rejection_table.RejectionTable()
        self._stated_leavings = stated_leavings.StatedLeavings()
        self._statement_recorder = statement_recorder.StatementRecorder(
            settings.node_id,
            self._limit_table,
            self._rejections,
            self._stated_leavings,
            lambda record: self._record_leaving(record.endpoint_id, record.started_ms),
        )
        self._part_guard = part_guard.PartGuard(settings.node_id, settings.requests.exempt_keys)
        self._crash_monitor = crash_monitor.CrashMonitor(
            self._pool,
            self._part_guard,
            self._on_endpoint_ended,
            lambda: self._reachability.is_cut,
        )
        self._peer_view = peer_view.PeerView(self._stall_tracker)
        self._identity = peer_identity.PeerIdentity(
            settings.node_id,
            time.time_ns(),
            settings.listen.peers,
            settings.data_centre,
            settings.listen.callers,
        )
        self._peer_table = peer_table.PeerTable(settings.node_id)
        self._serving = self._start_serving_actor().proxy()
        self._peer_pool = connection_pool.ConnectionPool(sockets.OPTIONS)
        self._peer_forwarder = peer_forwarder.PeerForwarder(
            settings.node_id,
            self._reachability,
            self._get_helpers,
            endpoint_client.EndpointClient(
                self._peer_pool,
                self._monitor,
                request_headers,
                stall_tracker.StallTracker(),
                self._caller_guard.budget,
            ),
            request_headers,
            self._serving,
            self._random_state,
        )
        self._store_calls = call_counter.CallCounter()
        self._store = object_client.PlatformObjectStore(settings.store_address, self._store_calls)
        self._store_access = store_access.StoreAccess(settings.node_id, self._random_state)
        self._group_controller = group_controller.GroupController(
            settings.node_id,
            self._store,
            engine_client.PlatformEngineClient(),
            self._get_fleet,
            self._get_planning_nodes,
            self._has_traffic,
            self._get_stalled_endpoints,
            self._get_busy_groups,
            self._get_engines_loading_elsewhere,
            # An engine is cold for too short a time to plan groups in its place.
            self._limit_table.stated_limit_per_s,
            self._count_in_flight,
            settings.groups,
            read_evacuated=self._get_evacuated,
        )
        # Exists only if the settings ask for it.
        self._evacuations = None
        if evacuations.is_on:
            self._evacuations = evacuation_handler.EvacuationHandler(
                evacuated_data_centres.EvacuatedDataCentres(),
                self._serving,
                self._node_status,
                self._group_controller.wake,
                self._on_evacuation_ended,
            )
        self._endpoint_handler = endpoint_handler.EndpointHandler(
            self._serving,
            self._node_status,
            self._pool,
            self._on_endpoints_changed,
            self._crash_monitor.record_started,
        )
        self._confirmation_checker = confirmation_checker.ConfirmationChecker(
            self._serving,
            health_client.PlatformHealthClient(),
            self._get_health_path,
            self._statement_recorder.record_check,
            self._on_endpoint_confirmed,
            self._random_state,
        )
        self._copies = configuration_copies.ConfigurationCopies(
            configuration_codec.KIND,
            copy_client.CopyClient(settings.listen.peers),
            self._random_state,
        )
        self._change_feed = change_feed.ChangeFeed(
            self._identity,
            self._peer_table,
            self._get_store_nodes,
            self._send_datagram,
            self._store_access,
            {evacuation_codec.KIND: evacuations.feed_timeout_s} if evacuations.is_on else None,
            self._copies,
        )
        self._peer_report_handler = peer_report_handler.PeerReportHandler(
            self._serving,
            self._peer_table,
            self._peer_view,
            self._part_guard,
            self._stated_leavings,
            self._cold_engines,
            self._record_leaving,
            self._group_controller.wake,
            self._copies,
            self._evacuations,
        )
        self._report_transport = report_transport.ReportTransport(
            self._identity,
            self._peer_table,
            self._build_local_state,
            self._peer_report_handler.on_report,
            self._peer_report_handler.on_digest,
            self._change_feed.receive,
            self._random_state,
        )
        self._reachability_checker = reachability_checker.ReachabilityChecker(
            self._reachability,
            self._pool,
            self._get_usable_endpoints,
            self._on_reachability_changed,
            self._random_state,
        )
        self._configuration_handler = configuration_handler.ConfigurationHandler(
            self._serving,
            self._node_status,
            self._group_controller.use_configuration,
            self._copies,
        )
        self._watchers = self._create_watchers()
        self._directory = node_directory.NodeDirectory(
            self._store,
            self._identity,
            self._peer_table,
            self._on_node_count,
            self._store_access,
            lambda: self._store.is_unavailable,
            self._random_state,
        )

    def run(self):
        """Serve until SIGTERM or SIGINT, then shut down gracefully."""
        eliot.add_global_fields(node=self._settings.node_id)
        self._log.start()
        logging.getLogger().addHandler(stdlib.EliotHandler())
        logging.getLogger().setLevel(logging.WARNING)
        signal.signal(signal.SIGTERM, self._on_stop_signal)
        signal.signal(signal.SIGINT, self._on_stop_signal)
        signal.signal(signal.SIGHUP, self._on_reload_signal)
        node_gauges.add_node_gauges(
            self._metrics,
            self._node_status,
            self._log,
            self._endpoint_handler,
            self._limit_table,
            self._cold_engines,
            self._reachability,
            self._peer_forwarder,
            self._part_guard,
            self._store,
        )
        node_gauges.add_dispatch_gauges(self._metrics, self._serving)
        if self._evacuations is not None:
            node_gauges.add_evacuation_gauges(self._metrics, self._evacuations.state)
        self._caller_guard.add_gauges(self._metrics)
        node_gauges.add_peer_gauges(
            self._metrics, self._report_transport, self._peer_table, self._copies
        )
        node_gauges.add_store_gauges(self._metrics, self._store_calls)
        servers = self._create_servers()
        _start_garbage_collection()
        for server in servers:
            restarting_thread.start(server.run, "http server")
        self._monitor.start()
        for watcher in self._watchers:
            watcher.start()
        self._directory.start()
        self._report_transport.start()
        self._change_feed.start()
        self._copies.start(self._use_copy)
        self._group_controller.start()
        self._reachability_checker.start()
        restarting_thread.start(self._run_maintenance, "upkeep")
        eliot.log_message(
            message_type=NODE_STARTED,
            data_centre=self._settings.data_centre,
            incarnation=self._identity.incarnation,
            is_first_start=self._settings.is_first_start,
            protocol=protocol.CURRENT,
        )
        self._stop_requested.wait()
        self._shut_down(servers)

    def _start_serving_actor(self):
        settings = self._settings
        retry_limits = (
            settings.requests.repeat_ratio,
            settings.requests.repeat_slack,
            settings.requests.repeat_window_s,
        )
        registry = fleet_registry.EndpointRegistry(settings.endpoints.heartbeat_interval_ms / 1000)
        allowance = request_allowance.RequestAllowance(
            settings.node_id, self._limit_table, time.monotonic()
        )
        gate = statement_gate.StatementGate(self._limit_table, allowance, self._rejections)
        request_dispatcher = dispatcher.Dispatcher(
            settings.data_centre,
            registry,
            retry_limits,
            self._stall_tracker,
            gate,
            self._random_state,
            self._pool.has_idle,
        )
        request_dispatcher.fleet_placement.use_setting(settings.requests.fleet_placement)
        return serving_actor.ServingActor.start(registry, request_dispatcher, gate)

    def _create_watchers(self):
        watchers = [
            store_watcher.StoreWatcher(
                self._store,
                configuration_codec.KIND,
                self._configuration_handler,
                feed=self._change_feed,
                access=self._store_access,
            ),
            store_watcher.StoreWatcher(
                self._store,
                endpoint_codec.KIND,
                self._endpoint_handler,
                self._get_watch_pause_s,
                self._change_feed,
                self._store_access,
            ),
        ]
        if self._evacuations is not None:
            settings = self._settings.evacuations
            watchers.append(
                store_watcher.StoreWatcher(
                    self._store,
                    evacuation_codec.KIND,
                    self._evacuations,
                    feed=self._change_feed,
                    access=self._store_access,
                    times=store_watcher.WatchTimes(
                        settings.watch_timeout_s,
                        settings.relay_watch_timeout_s,
                        settings.bound_ms / 1000,
                    ),
                )
            )
        return watchers

    def _create_servers(self):
        settings = self._settings
        reader = request_reader.RequestReader(
            self._node_status, request_headers, self._random_state
        )
        app = proxy_app.ProxyApp(
            reader,
            self._node_status,
            self._serving,
            endpoint_client.EndpointClient(
                self._pool,
                self._monitor,
                request_headers,
                self._stall_tracker,
                self._caller_guard.budget,
            ),
            request_headers,
            self._stall_tracker,
            self._statement_recorder,
            self._part_guard,
            self._crash_monitor,
            self._reachability,
            self._peer_forwarder,
            request_logger.RequestLogger(self._node_status),
            self._metrics,
        )
        servers = [
            self._create_server(
                app, settings.listen.callers, settings.requests.concurrency, self._listener
            ),
            self._create_server(
                monitoring_apps.ReadinessApp(self._node_status, paths.READY),
                settings.listen.readiness,
                2,
            ),
            self._create_server(
                configuration_app.ConfigurationApp(self._copies),
                settings.listen.peers,
                PEER_CONCURRENCY,
            ),
        ]
        if settings.listen.metrics is not None:
            servers.append(
                self._create_server(
                    monitoring_apps.MetricsApp(self._metrics), settings.listen.metrics, 2
                )
            )
        return servers

    def _create_server(self, app, address, concurrency, listener=None):
        host, _, port = address.rpartition(":")
        limits = vm_settings.ServerLimits(concurrency)
        return http_server.create(app, host, int(port), limits, listener, self._caller_guard)

    def _get_watch_pause_s(self):
        if self._store_access.is_large and self._change_feed.has_subscribers:
            return store_access.RELAY_WATCH_PAUSE_S
        if self._group_controller.is_busy:
            return REGROUPING_WATCH_PAUSE_S
        return RELAY_WATCH_PAUSE_S if self._change_feed.has_subscribers else WATCH_PAUSE_S

    def _get_fleet(self):
        return self._serving.fleet_snapshot().get()

    def _get_usable_endpoints(self):
        records = self._get_fleet().records
        usable = [record for record in records.values() if record.accepts_requests]
        # Endpoints of a data centre that is switched off say nothing about this node's links.
        return evacuated_endpoints.prefer_outside(usable, self._get_evacuated())

    def _on_reachability_changed(self, change):
        self._group_controller.wake()
        if not change.is_cut:
            self._serving.forget_failures()

    def _get_helpers(self):
        return self._peer_table.helpers(time.monotonic())

    def _get_planning_nodes(self):
        return self._peer_table.planning_node_ids(
            time.monotonic(),
            is_own_store_unavailable=self._store.is_unavailable,
            is_own_cut=self._reachability.is_cut,
        )

    def _get_store_nodes(self):
        return self._peer_table.store_node_ids(
            time.monotonic(), is_own_store_unavailable=self._store.is_unavailable
        )

    def _use_copy(self, message):
        """Use the configuration of another node at once, and let its watcher go on from it."""
        self._configuration_handler.on_changes(
            message.puts, (), message.version, time.monotonic(), was_outage=False
        )
        self._change_feed.deliver(dataclasses.replace(message, puts=()))

    def _on_endpoints_changed(self):
        self._group_controller.wake()
        self._confirmation_checker.check_all()

    def _on_endpoint_confirmed(self, changes):
        self._endpoint_handler.process_changes(changes, None)

    def _record_leaving(self, endpoint_id, started_ms):
        changes = self._serving.record_leaving(endpoint_id, started_ms).get()
        self._endpoint_handler.process_changes(changes, None)

    def _on_endpoint_ended(self, record, now):
        self._serving.record_ended(record.endpoint_id, record.started_ms, now)

    def _get_health_path(self, service):
        configuration = self._node_status.configuration
        spec = None if configuration is None else configuration.services.get(service)
        return None if spec is None else spec.health_path

    def _on_node_count(self, nodes):
        self._serving.use_node_count(nodes)

    def _has_traffic(self):
        # After a restart it is unknown whether requests arrived earlier, so they are assumed.
        has_traffic = self._node_status.has_traffic or self._peer_view.has_traffic
        return has_traffic or not self._settings.is_first_start

    def _get_stalled_endpoints(self):
        return self._stall_tracker.all_stalled(time.monotonic())

    def _count_in_flight(self, endpoint_id):
        return self._serving.count_in_flight(endpoint_id, time.monotonic()).get()

    def _get_busy_groups(self):
        now = time.monotonic()
        own_groups = self._serving.busy_groups(now).get()
        return self._peer_view.total_busy_groups(own_groups, self._peer_table.live_node_ids(now))

    def _get_engines_loading_elsewhere(self):
        return self._peer_view.loading_engines(self._peer_table.live_node_ids(time.monotonic()))

    def _build_local_state(self):
        now = time.monotonic()
        is_cut = self._reachability.is_cut
        status = self._node_status
        return local_state.LocalState(
            self._serving.own_load().get(),
            # What a node that is cut from all endpoints sees says nothing about them.
            frozenset() if is_cut else self._stall_tracker.own_stalled(now),
            self._node_status.configuration_version or 0,
            self._node_status.has_traffic or self._peer_view.has_traffic,
            self._serving.busy_groups(now).get(),
            self._group_controller.loading_engines,
            self._store.is_unavailable,
            self._limit_table.statements_to_report(now),
            self._limit_table.own_changes,
            self._part_guard.statements_to_report(now),
            self._part_guard.own_changes,
            self._part_guard.urgent_changes,
            status.is_ready and not status.refuses_requests and not is_cut,
            is_cut,
            self._stated_leavings.statements_to_report(now),
            self._stated_leavings.changes,
            self._cold_engines.statements_to_report(now),
            self._cold_engines.own_changes,
            *self._evacuations_to_report(),
        )

    def _evacuations_to_report(self):
        if self._evacuations is None:
            return None, 0
        state = self._evacuations.state
        return state.own_reading, state.change_count

    def _get_evacuated(self):
        if self._evacuations is None:
            return frozenset()
        return self._evacuations.state.data_centres

    def _on_evacuation_ended(self, data_centre, now):
        """Take the data centre's engines into use again; they may be cold."""
        returned = 0
        for record in self._get_fleet().records.values():
            if record.data_centre != data_centre:
                continue
            returned += 1
            self._cold_engines.record_cold(
                record.endpoint_id, record.started_ms, None, cold_engines.EVACUATION, now
            )
        eliot.log_message(
            message_type=ENDPOINTS_RETURNED, data_centre=data_centre, endpoints=returned
        )

    def _update_evacuations(self, records, now):
        if self._evacuations is None:
            return
        self._evacuations.expire(now)
        if self._node_status.is_ready:
            self._evacuations.log_unknown({record.data_centre for record in records.values()})

    def _update_allowances(self, now):
        self._log_limit_changes(self._serving.expire_limits(now).get())
        if self._has_traffic():
            self._cold_engines.note_traffic()
        for change in self._cold_engines.expire(now):
            request_logger.log_cold_changed(change, now)
        live_nodes = self._peer_table.live_node_ids(now)
        known_nodes = self._peer_table.known_node_ids()
        for change in self._serving.use_live_nodes(live_nodes, known_nodes, now).get():
            request_logger.log_allowance_changed(change)

    def _update_quarantines(self, now):
        self._part_guard.use_live_nodes(self._peer_table.live_node_ids(now))
        for change in self._part_guard.expire(self._peer_view.last_event_at_by_key, now):
            part_log.log_quarantine_change(change, now)

    def _log_limit_changes(self, changes):
        for change in changes:
            request_logger.log_limit_changed(change)

    def _send_datagram(self, data, address):
        self._report_transport.send_datagram(data, address)

    def _run_maintenance(self):
        while not self._stop_requested.wait(MAINTENANCE_INTERVAL_S):
            now = time.monotonic()
            self._endpoint_handler.process_changes(self._serving.expire(now).get(), None)
            self._update_allowances(now)
            self._update_quarantines(now)
            self._peer_view.expire_digests(now)
            self._serving.use_demand(self._get_busy_groups())
            self._confirmation_checker.check_all()
            self._pool.close_expired(now)
            self._peer_pool.close_expired(now)
            records = self._get_fleet().records
            self._peer_view.set_endpoint_ids(records)
            self._stated_leavings.expire(records)
            self._update_evacuations(records, now)
            self._rejections.expire(now)
            self._store_calls.log_if_due(now)
            if self._reload_requested.is_set() or self._settings_file.has_changed():
                self._reload_requested.clear()
                self._reload_settings()

    def _reload_settings(self):
        """Apply the settings that can change at run time; new addresses require a restart."""
        settings = self._settings_file.load()
        if settings is None:
            return
        eliot.log_message(message_type=NODE_RELOADED, is_changed=settings != self._settings)
        self._settings = settings
        self._cold_engines.use_bounds(settings.endpoints.cold_over, settings.endpoints.cold_slack)
        requests = settings.requests
        self._part_guard.use_exempt_parts(requests.exempt_keys)
        self._serving.use_fleet_placement(requests.fleet_placement)
        self._serving.use_retry_limits(
            (requests.repeat_ratio, requests.repeat_slack, requests.repeat_window_s)
        )

    def _on_stop_signal(self, signal_number, frame):
        del signal_number, frame
        self._stop_requested.set()

    def _on_reload_signal(self, signal_number, frame):
        del signal_number, frame
        self._reload_requested.set()

    def _shut_down(self, servers):
        started_at = time.monotonic()
        plan = stop_plan.StopPlan(started_at, self._settings.stop.grace_s)
        self._node_status.begin_stop(plan.answer_by)
        eliot.log_message(message_type=NODE_STOPPING, in_flight=self._node_status.in_flight)
        self._group_controller.stop()
        while True:
            now = time.monotonic()
            # Includes attempts that were still connecting at the last time.
            self._monitor.shorten_deadlines(plan.answer_by)
            if not plan.accepts_requests(now):
                self._node_status.refuse_requests()
            unfinished = max(
                self._node_status.in_flight, http_server.count_busy_connections(servers[0])
            )
            if plan.should_exit(now, unfinished):
                break
            time.sleep(DRAIN_POLL_INTERVAL_S)
        self._store_calls.log()
        eliot.log_message(
            message_type=NODE_STOPPED,
            in_flight=self._node_status.in_flight,
            duration_s=round(time.monotonic() - started_at, 3),
        )
        self._change_feed.stop()
        self._copies.stop()
        self._report_transport.stop()
        self._reachability_checker.stop()
        self._directory.stop()
        for watcher in self._watchers:
            watcher.stop()
        for server in servers:
            server.close()
        self._log.flush(LOG_FLUSH_TIMEOUT_S)
        pykka.ActorRegistry.stop_all(block=False)
        # Threads that are blocked in calls to the platform would delay a normal exit.
        os._exit(0)


def _start_garbage_collection():
    """Exclude what the imports have created, which stays for good, from garbage collections."""
    gc.freeze()
    gc.enable()
