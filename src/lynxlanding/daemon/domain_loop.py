"""Threads that do the I/O of a ``DomainActor``: VM list, domain objects, probes and orders."""

import logging
import threading
import time
from concurrent import futures

from lynxlanding.errors import base as errors_base
from lynxlanding.errors import groups as groups_errors
from lynxlanding.errors import platform as platform_errors
from lynxlanding.groups import domain as domain_module
from lynxlanding.groups import domain_store, permit_tracker, probe_result
from lynxlanding.membership import scopes

STEP_INTERVAL_S = 0.25
STORE_WATCH_TIMEOUT_S = 20.0
RETRY_DELAY_S = 0.5
ENGINE_CALL_THREADS = 64
ACTION_THREADS = 16
# Leaving notices are gossiped to the nodes of all data centres, which is affordable because they
# change only when an endpoint leaves.
LEAVING_NOTICES_KEY = "leaving"

_logger = logging.getLogger(__name__)


class DomainLoop:
    """Passes input to the actor, executes its actions and publishes the resulting endpoints.

    Parameters
    ----------
    fleet : pykka proxy of FleetController
        Decides on the actions.
    store : ObjectStore
        Client of the object API.
    vm_list : VmList or None
        The platform's VM list; None if this installation has no replica groups.
    weight_store : WeightStore or None
        Grants permits to load weights; None if loads need no permit.
    transport : EngineTransport
        Sends probes and orders to the engines.
    router : RoutingActor proxy
        Receives the groups' endpoints and the leaving addresses.
    membership : MembershipActor proxy or None
        Gossips the endpoints that this node has seen leaving.
    relay : EvidenceRelay or None
        Exchanges serving evidence with the other nodes of the data centre.
    settings : GroupSettings
        Intervals.
    random_state : numpy.random.Generator
        Adds jitter to retries.
    """

    def __init__(
        self,
        fleet,
        store,
        vm_list,
        weight_store,
        transport,
        router,
        membership,
        relay,
        settings,
        random_state,
    ):
        self._fleet = fleet
        self._store = store
        self._domains = domain_store.DomainStore(store)
        self._vm_list = vm_list
        self._weight_store = weight_store
        self._transport = transport
        self._router = router
        self._membership = membership
        self._relay = relay
        self._published_notices = {}
        self._settings = settings
        self._permits = permit_tracker.PermitTracker(random_state)
        self._engine_call_pool = futures.ThreadPoolExecutor(ENGINE_CALL_THREADS)
        self._action_pool = futures.ThreadPoolExecutor(ACTION_THREADS)
        self._busy_domains = set()
        self._probe_results = []
        self._stop = threading.Event()

    def start(self):
        """Start the threads."""
        if self._membership is not None:
            self._membership.subscribe(LEAVING_NOTICES_KEY, self._on_leaving_notices).get()
        loop_bodies = (
            self._refresh_vm_list,
            self._watch_domains,
            self._probe_engines,
            self._probe_urgent_engines,
            self._step,
            self._publish_updates,
        )
        if self._vm_list is None:
            # Without a VM list there are no groups, but fixed endpoints can be drained.
            loop_bodies = (self._publish_updates,)
        elif self._relay is not None:
            self._relay.start()
            loop_bodies += (self._relay.refresh_nodes,)
        for target in loop_bodies:
            threading.Thread(target=self._run_repeatedly, args=(target,), daemon=True).start()

    def stop(self):
        """Stop the threads after their current calls."""
        self._stop.set()

    def set_configuration(self, snapshot):
        """Apply an accepted configuration and publish the endpoints immediately."""
        self._fleet.set_configuration(snapshot, time.monotonic()).get()
        self._publish_endpoints()

    def group_status(self):
        """Return the rows of ``FleetController.status``."""
        return self._fleet.status(time.monotonic(), time.time()).get()

    def leaving_sources(self):
        """Return the sources that report an endpoint as leaving, by address."""
        return self._fleet.leaving_sources().get()

    def winddowns(self):
        """Return the wind-down plans by model."""
        return self._fleet.winddowns.get()

    def _run_repeatedly(self, target):
        while not self._stop.is_set():
            try:
                target()
            except errors_base.LynxlandingError as e:
                _logger.warning("%s: %s", e.type_name, e)
                self._stop.wait(RETRY_DELAY_S)
            except Exception:
                # An unexpected error must not stop this thread permanently.
                _logger.exception("unexpected error in the domain loop")
                self._stop.wait(RETRY_DELAY_S)

    def _refresh_vm_list(self):
        vms = self._vm_list.fetch()
        if self._fleet.update_vms(vms, time.monotonic()).get():
            self._publish_endpoints()
        self._stop.wait(self._settings.vm_list_interval_s)

    def _watch_domains(self):
        items, version = self._store.list(domain_module.KIND)
        for item in items:
            self._apply_domain_item(item)
        while not self._stop.is_set():
            try:
                batch = self._store.watch(domain_module.KIND, version, STORE_WATCH_TIMEOUT_S)
            except platform_errors.WatchExpired:
                return
            for item in batch.puts:
                self._apply_domain_item(item)
            version = batch.version

    def _apply_domain_item(self, item):
        try:
            domain = domain_module.from_value(item.name, item.value)
        except groups_errors.InvalidDomain as e:
            _logger.error("ignored an invalid domain object: %s", e)
            return
        self._fleet.update_domain(domain, item.version, time.monotonic()).get()

    def _probe_engines(self):
        self._probe_all(self._fleet.probe_targets().get(), self._settings.probe_interval_s)

    def _probe_urgent_engines(self):
        self._probe_all(self._fleet.urgent_targets(time.monotonic()).get(), STEP_INTERVAL_S)

    def _probe_all(self, targets, interval_s):
        started_at = time.monotonic()
        pending_futures = []
        for name, address in targets:
            pending_futures.append(self._engine_call_pool.submit(self._probe_one, name, address))
        futures.wait(pending_futures)
        self._stop.wait(max(0.0, interval_s - (time.monotonic() - started_at)))

    def _probe_one(self, name, address):
        sent_at = time.monotonic()
        try:
            report = self._transport.probe(address)
        except groups_errors.ProbeFailed as e:
            is_refused = isinstance(e, groups_errors.ProbeRefused)
            self._probe_results.append(
                probe_result.ProbeResult(name, address, sent_at, None, is_refused)
            )
            return
        self._probe_results.append(probe_result.ProbeResult(name, address, sent_at, report))

    def _step(self):
        in_flight = self._router.in_flight().get()
        actions = self._fleet.step(time.monotonic(), time.time(), in_flight).get()
        for action in actions:
            # The pool keeps a slow engine or store call in one domain from delaying the others.
            if action.name not in self._busy_domains:
                self._busy_domains.add(action.name)
                self._action_pool.submit(self._execute_action, action)
        self._stop.wait(STEP_INTERVAL_S)

    def _execute_action(self, action):
        try:
            if action.write is not None:
                self._write_domain(action)
            else:
                self._send_orders(action)
        except errors_base.LynxlandingError as e:
            _logger.warning("domain %s: %s: %s", action.name, e.type_name, e)
            self._stop.wait(RETRY_DELAY_S)
        except Exception:
            _logger.exception("domain %s: unexpected error in an action", action.name)
            self._stop.wait(RETRY_DELAY_S)
        finally:
            self._busy_domains.discard(action.name)

    def _write_domain(self, action):
        self._fleet.begin_write(action.write, time.monotonic()).get()
        try:
            version = self._domains.write(action.write, action.version)
        except platform_errors.StoreOutcomeUnknown:
            domain, version = self._domains.read(action.name)
            self._fleet.update_domain(domain, version, time.monotonic()).get()
            return
        except platform_errors.VersionConflict:
            self._fleet.discard_write(action.name).get()
            domain, version = self._domains.read(action.name)
            self._fleet.update_domain(domain, version, time.monotonic()).get()
            return
        except platform_errors.PlatformError:
            self._fleet.discard_write(action.name).get()
            raise
        self._fleet.confirm_write(action.write, version).get()
        for change in action.changes:
            _logger.info("domain %s: %s", action.name, change)

    def _send_orders(self, action):
        ready, needing_permit = self._permits.split_by_permit(action.orders, time.monotonic())
        for order in needing_permit:
            if self._obtain_permit(order):
                ready.append(order)
        pending_futures = []
        for order in ready:
            pending_futures.append(
                self._engine_call_pool.submit(self._send_order, action.name, order)
            )
        futures.wait(pending_futures)

    def _obtain_permit(self, order):
        if self._weight_store is None:
            return True
        if not self._permits.may_request(order, time.monotonic()):
            return False
        try:
            self._weight_store.request_permit(order.model, order.version)
        except platform_errors.WeightPermitDenied as e:
            self._permits.record_denied(order, e.retry_after_s, time.monotonic())
            return False
        self._permits.record_granted(order, time.monotonic())
        return True

    def _send_order(self, name, order):
        # Checks the lease against the current time immediately before sending the order.
        if not self._fleet.may_send(name, order, time.monotonic()).get():
            return
        try:
            instance = self._transport.send_order(order)
        except groups_errors.StaleFencingNumber:
            self._fleet.record_order_failed(name, order, time.monotonic(), True).get()
            domain, version = self._domains.read(name)
            self._fleet.update_domain(domain, version, time.monotonic()).get()
            return
        except groups_errors.OrderFailed as e:
            is_delivered = not isinstance(e, groups_errors.OrderNotDelivered)
            self._fleet.record_order_failed(name, order, time.monotonic(), is_delivered).get()
            _logger.warning("order to engine %s failed: %s", order.address, e)
            return
        self._permits.record_used(order)
        self._fleet.record_order_accepted(name, order, instance).get()

    def _on_leaving_notices(self, node_id, document):
        # Runs in the membership actor, which must not block, so the result is not awaited; the next
        # round of _publish_updates publishes the change.
        del node_id
        if document:
            self._fleet.record_leaving_notices(document, time.monotonic())

    def _publish_updates(self):
        # Sends many results in one actor message, because a message costs as much as processing one
        # result.
        results, self._probe_results = self._probe_results, []
        if results:
            self._fleet.record_probes(results).get()
        if self._relay is not None:
            self._relay.exchange(time.monotonic())
        self._publish_endpoints()
        if self._membership is not None:
            notices = self._fleet.leaving_notices().get()
            if notices != self._published_notices:
                self._membership.publish(LEAVING_NOTICES_KEY, notices, scopes.WIDE).get()
                self._published_notices = notices
        self._stop.wait(STEP_INTERVAL_S)

    def _publish_endpoints(self):
        endpoints = self._fleet.endpoints(time.monotonic()).get()
        leaving = self._fleet.leaving_addresses().get()
        self._router.set_group_endpoints(endpoints, leaving).get()
