"""Composition and life cycle of a node: actors, listeners and background threads."""

import logging
import signal
import threading
import time
import uuid

import numpy as np
import pykka

from lynxlanding.admission import admission_actor, admission_gate
from lynxlanding.daemon import (
    admission_loop,
    clock_handler,
    configuration_access,
    control_plane,
    domain_wiring,
    endpoint_targets,
    group_sampler,
    node_observability,
    node_rows,
    node_state,
    view_source,
)
from lynxlanding.drain import node_stop
from lynxlanding.gateway import (
    caller_app,
    caller_guard,
    claim_app,
    http_server,
    peer_app,
    request_parser,
)
from lynxlanding.membership import member
from lynxlanding.operators import admin_app
from lynxlanding.requests import (
    attempt_monitor,
    claim_manager,
    endpoint_client,
    membership_owner_lookup,
    monitored_connection,
    node_identity,
    owner_lookup,
    request_runner,
)
from lynxlanding.retry import retry_actor
from lynxlanding.routing import endpoint_poller, routing_actor
from lynxlanding.store import http_store, vm_list
from lynxlanding.transport import memory_budget, strict_connection

DRAIN_POLL_INTERVAL_S = 0.05
# If an outcome is not in the store when the process ends, repeats of its request get
# "executed: unknown". A normal write takes milliseconds.
OUTCOME_WRITE_TIMEOUT_S = 30.0
CLAIM_DELETION_INTERVAL_S = 3600.0
MEMBER_REFRESH_INTERVAL_S = 1.0

_logger = logging.getLogger(__name__)


class Node:
    """Builds the components of a node and runs them.

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
            settings.platform.object_api, strict_connection.make_pool_manager(maxsize=16)
        )
        self._random_state = np.random.default_rng(settings.seed)
        self._router = routing_actor.RoutingActor.start(
            settings.routing.policy,
            np.random.default_rng(self._random_state.integers(1 << 32)),
            1 + len(settings.membership.peers),
        ).proxy()
        self._endpoint_poller = endpoint_poller.EndpointPoller(
            self._router,
            strict_connection.make_pool_manager(num_pools=4000, maxsize=1),
            settings.routing.report_interval_s,
        )
        vm_list_client = None
        if settings.platform.vm_list is not None:
            vm_list_client = vm_list.HttpVmList(
                settings.platform.vm_list, strict_connection.make_pool_manager()
            )
        self._control_plane = control_plane.ControlPlane(
            settings,
            self._store,
            vm_list_client,
            self._apply_configuration,
            self._state.set_configuration_status,
        )
        self._admission = admission_actor.AdmissionActor.start(
            settings.node_id, np.random.default_rng(self._random_state.integers(1 << 32))
        ).proxy()
        self._admission_loop = admission_loop.AdmissionLoop(
            self._admission, self._router, self._control_plane.membership
        )
        self._clock_id = f"{settings.node_id}/{uuid.uuid4().hex[:12]}"
        self._domain_loop = domain_wiring.make_domain_loop(
            settings, self._clock_id, self._store, self._router, self._control_plane.membership
        )
        pool = monitored_connection.make_pool_manager(
            num_pools=4000, maxsize=settings.requests.concurrency
        )
        self._owner_lookup = membership_owner_lookup.MembershipOwnerLookup(
            owner_lookup.HttpOwnerLookup(strict_connection.make_pool_manager(maxsize=16))
        )
        self._claim_manager = self._make_claim_manager(settings)
        self._attempt_monitor = attempt_monitor.AttemptMonitor()
        runner = request_runner.RequestRunner(
            self._router,
            endpoint_client.EndpointClient(pool, self._attempt_monitor),
            retry_actor.RetryActor.start().proxy(),
            self._claim_manager,
            settings.requests.stall_timeout_s,
        )
        parser = request_parser.RequestParser(settings.requests)
        self._observability = node_observability.NodeObservability(
            settings, self._store, self._state
        )
        self._group_sampler = group_sampler.GroupSampler(
            self._domain_loop.group_status, self._observability.burn_actor
        )
        self._observability.metrics.add_gauge(
            "lynxlanding_stranded_accelerators",
            "Accelerators of live VMs in incomplete groups, as this node sees them.",
            lambda: self._group_sampler.stranded_accelerators,
        )
        self._caller_app = caller_app.CallerApp(
            parser,
            self._state,
            runner,
            self._observability.request_observer,
            self._observability.metrics,
            admission_gate.AdmissionGate(self._admission, self._admission_loop.read_slots),
        )
        self._peer_app = peer_app.PeerApp()
        self._control_plane.register(self._peer_app)
        self._peer_app.register(clock_handler.PATH, clock_handler.ClockHandler(self._clock_id))
        self._peer_app.register(owner_lookup.CLAIMS_PATH, claim_app.ClaimApp(self._claim_manager))
        self._peer_app.register(admin_app.PATH_PREFIX, self._make_admin_app(vm_list_client))

    def run(self):
        """Serve until SIGTERM or SIGINT, then drain and stop."""
        self._observability.start()
        signal.signal(signal.SIGTERM, self._on_signal)
        signal.signal(signal.SIGINT, self._on_signal)
        listen = self._settings.listen
        limits = self._settings.requests
        caller_limits = caller_guard.fixed_limits(limits)
        guard = caller_guard.CallerGuard(
            memory_budget.MemoryBudget(caller_guard.budget_bytes(self._settings.limits.memory_mb)),
            lambda: caller_limits,
            self._settings.limits.max_fds,
        )
        guard.add_gauges(self._observability.metrics)
        servers = [
            http_server.create(self._caller_app, listen.host, listen.port, limits, guard=guard),
            http_server.create(self._peer_app, listen.host, listen.peer_port, limits, guard=guard),
        ]
        self._attempt_monitor.start()
        for server in servers:
            threading.Thread(target=server.run, daemon=True).start()
        self._control_plane.start()
        threading.Thread(target=self._delete_expired_claims, daemon=True).start()
        threading.Thread(target=self._refresh_members, daemon=True).start()
        self._domain_loop.start()
        self._endpoint_poller.start()
        self._admission_loop.start()
        self._group_sampler.start()
        self._stop.wait()
        self._observability.begin_stop()
        self._drain(servers[0])
        self._control_plane.stop()
        self._group_sampler.stop()
        self._domain_loop.stop()
        self._endpoint_poller.stop()
        self._admission_loop.stop()
        for server in servers:
            server.close()
        self._observability.stop()
        pykka.ActorRegistry.stop_all(timeout=2)

    def _on_signal(self, number, frame):
        del number, frame
        self._stop.set()

    def _drain(self, caller_server):
        drain = self._settings.drain
        stop = node_stop.NodeStop(drain.unready_s, drain.limit_s)
        self._state.begin_drain()
        stop.request_stop(time.monotonic())
        while True:
            in_flight = max(
                self._state.in_flight, http_server.count_busy_connections(caller_server)
            )
            if stop.advance(time.monotonic(), in_flight) == node_stop.STOPPED:
                break
            if not stop.accepts_requests:
                self._state.refuse_requests()
            time.sleep(DRAIN_POLL_INTERVAL_S)
        if stop.aborted_requests:
            _logger.warning(
                "%d requests were still in flight when the drain limit was reached",
                stop.aborted_requests,
            )
        remaining = self._claim_manager.wait_until_written(OUTCOME_WRITE_TIMEOUT_S)
        if remaining:
            _logger.warning(
                "%d outcomes of requests with an idempotency key were not written to the store",
                remaining,
            )

    def _make_admin_app(self, vm_list_client):
        node_id = self._settings.node_id
        view = view_source.NodeViewSource(
            node_id,
            self._control_plane.configuration,
            self._router,
            node_rows.NodeRowSource(
                self._control_plane, node_id, strict_connection.make_pool_manager(num_pools=64)
            ),
            vm_list_client,
            self._domain_loop,
            self._group_sampler,
        )
        access = configuration_access.ConfigurationAccess(
            self._control_plane.changes, self._control_plane.configuration
        )
        return admin_app.AdminApp(access, view, self._observability.burn_reporter)

    def _make_claim_manager(self, settings):
        identity = node_identity.NodeIdentity(
            settings.node_id,
            uuid.uuid4().hex,
            f"{settings.listen.host}:{settings.listen.peer_port}",
        )
        return claim_manager.ClaimManager(
            self._store,
            identity,
            self._owner_lookup,
            settings.requests.claim_writes_per_s,
            self._random_state,
            nodes=1 + len(settings.membership.peers),
        )

    def _delete_expired_claims(self):
        # Each run lists all claims, so a random delay before the first run spreads the runs of the
        # nodes over the interval.
        wait_s = self._random_state.uniform(0.0, CLAIM_DELETION_INTERVAL_S)
        while not self._stop.wait(wait_s):
            self._claim_manager.delete_expired(time.time())
            wait_s = CLAIM_DELETION_INTERVAL_S

    def _refresh_members(self):
        while not self._stop.wait(MEMBER_REFRESH_INTERVAL_S):
            members = self._control_plane.membership.members().get()
            live = [item.node_id for item in members if item.state == member.LIVE]
            self._owner_lookup.set_live_node_ids(live)
            # Suspected nodes may still write, so they keep their share of the store's write rate.
            self._claim_manager.set_members([item.node_id for item in members])

    def _apply_configuration(self, snapshot):
        self._router.set_endpoints(endpoint_targets.from_snapshot(snapshot)).get()
        self._admission.set_guaranteed_rates(admission_loop.guaranteed_rates(snapshot)).get()
        self._admission.set_pool_slots(self._admission_loop.read_slots()).get()
        self._domain_loop.set_configuration(snapshot)
        self._state.set_configuration(snapshot)
