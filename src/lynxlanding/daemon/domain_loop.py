"""I/O of a node's ``DomainActor``: VM list, domain objects, probes and orders."""

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
WATCH_TIMEOUT_S = 20.0
STORE_RETRY_S = 0.5
PROBE_THREADS = 64
ACTION_THREADS = 16
# Notices reach the nodes of all data centres; they change only when an endpoint leaves.
NOTICE_KEY = "leaving"

_logger = logging.getLogger(__name__)


class DomainLoop:
    """Feeds the actor, carries its actions out and publishes what it decides about endpoints.

    Parameters
    ----------
    fleet : pykka proxy of FleetController
        Decisions.
    store : ObjectStore
        The object API.
    vm_list : VmList or None
        The platform's VM list; None if this installation has no replica groups.
    weight_store : WeightStore or None
        Grants load permits; None if loads need none.
    transport : EngineTransport
        Probes and orders.
    router : RoutingActor proxy
        Receives the groups' endpoints and the leaving addresses.
    membership : MembershipActor proxy or None
        Tells the other nodes which endpoints this node saw leaving.
    relay : EvidenceRelay or None
        Exchanges serving evidence with the nodes of the data centre.
    settings : GroupSettings
        Intervals.
    random_state : numpy.random.Generator
        Spreads retries.
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
        self._notices = {}
        self._settings = settings
        self._permits = permit_tracker.PermitTracker(random_state)
        self._pool = futures.ThreadPoolExecutor(PROBE_THREADS)
        self._action_pool = futures.ThreadPoolExecutor(ACTION_THREADS)
        self._busy = set()
        self._results = []
        self._stop = threading.Event()

    def start(self):
        """Start the threads."""
        if self._membership is not None:
            self._membership.subscribe(NOTICE_KEY, self._on_notices).get()
        rounds = (
            self._read_vm_list,
            self._watch_domains,
            self._probe,
            self._probe_urgent,
            self._step,
            self._publish_round,
        )
        if self._vm_list is None:
            # Without a VM list there are no groups, but fixed endpoints can be drained.
            rounds = (self._publish_round,)
        elif self._relay is not None:
            self._relay.start()
            rounds += (self._relay.follow_nodes,)
        for target in rounds:
            threading.Thread(target=self._run, args=(target,), daemon=True).start()

    def stop(self):
        """End the threads after their current calls."""
        self._stop.set()

    def set_configuration(self, snapshot):
        """Take over an accepted configuration and publish the leaving endpoints at once."""
        self._fleet.set_configuration(snapshot, time.monotonic()).get()
        self._publish()

    def group_status(self):
        """Return the rows of ``FleetController.status``."""
        return self._fleet.status(time.monotonic(), time.time()).get()

    def leaving_sources(self):
        """Return the sources that call an endpoint leaving, by address."""
        return self._fleet.leaving_sources().get()

    def winddowns(self):
        """Return the wind-down plans by model."""
        return self._fleet.winddowns.get()

    def _run(self, target):
        while not self._stop.is_set():
            try:
                target()
            except errors_base.LynxlandingError as e:
                _logger.warning("%s: %s", e.type_name, e)
                self._stop.wait(STORE_RETRY_S)
            except Exception:
                # A fault in one round must not end the probes for good.
                _logger.exception("domain loop failed")
                self._stop.wait(STORE_RETRY_S)

    def _read_vm_list(self):
        vms = self._vm_list.fetch()
        if self._fleet.update_vms(vms, time.monotonic()).get():
            self._publish()
        self._stop.wait(self._settings.vm_list_interval_s)

    def _watch_domains(self):
        items, version = self._store.list(domain_module.KIND)
        for item in items:
            self._note_item(item)
        while not self._stop.is_set():
            try:
                batch = self._store.watch(domain_module.KIND, version, WATCH_TIMEOUT_S)
            except platform_errors.WatchExpired:
                return
            for item in batch.puts:
                self._note_item(item)
            version = batch.version

    def _note_item(self, item):
        try:
            domain = domain_module.from_value(item.name, item.value)
        except groups_errors.InvalidDomain as e:
            _logger.error("ignored: %s", e)
            return
        self._fleet.update_domain(domain, item.version, time.monotonic()).get()

    def _probe(self):
        self._probe_all(self._fleet.probe_targets().get(), self._settings.probe_interval_s)

    def _probe_urgent(self):
        self._probe_all(self._fleet.urgent_targets(time.monotonic()).get(), STEP_INTERVAL_S)

    def _probe_all(self, targets, interval_s):
        started_at = time.monotonic()
        pending = []
        for name, address in targets:
            pending.append(self._pool.submit(self._probe_one, name, address))
        futures.wait(pending)
        self._stop.wait(max(0.0, interval_s - (time.monotonic() - started_at)))

    def _probe_one(self, name, address):
        sent_at = time.monotonic()
        try:
            report = self._transport.probe(address)
        except groups_errors.ProbeFailed as e:
            is_refused = isinstance(e, groups_errors.ProbeRefused)
            self._results.append(probe_result.ProbeResult(name, address, sent_at, None, is_refused))
            return
        self._results.append(probe_result.ProbeResult(name, address, sent_at, report))

    def _step(self):
        in_flight = self._router.in_flight().get()
        actions = self._fleet.step(time.monotonic(), time.time(), in_flight).get()
        for action in actions:
            # A slow engine or store call in one domain does not hold up the others.
            if action.name not in self._busy:
                self._busy.add(action.name)
                self._action_pool.submit(self._carry_out, action)
        self._stop.wait(STEP_INTERVAL_S)

    def _carry_out(self, action):
        try:
            if action.write is not None:
                self._write(action)
            else:
                self._send_orders(action)
        except errors_base.LynxlandingError as e:
            _logger.warning("domain %s: %s: %s", action.name, e.type_name, e)
            self._stop.wait(STORE_RETRY_S)
        except Exception:
            _logger.exception("domain %s: action failed", action.name)
            self._stop.wait(STORE_RETRY_S)
        finally:
            self._busy.discard(action.name)

    def _write(self, action):
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
        ready, to_request = self._permits.split_by_permit(action.orders, time.monotonic())
        for order in to_request:
            if self._obtain_permit(order):
                ready.append(order)
        pending = []
        for order in ready:
            pending.append(self._pool.submit(self._send_order, action.name, order))
        futures.wait(pending)

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
        # The lease is checked on a fresh clock, right before the order is sent.
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
            _logger.warning("order to %s failed: %s", order.address, e)
            return
        self._permits.record_used(order)
        self._fleet.record_order_accepted(name, order, instance).get()

    def _on_notices(self, node_id, document):
        # Called by the membership actor, which must not wait; the next round publishes.
        del node_id
        if document:
            self._fleet.record_leaving_notices(document, time.monotonic())

    def _publish_round(self):
        # One message to the actor for many probes: a message costs as much as a probe's decision.
        results, self._results = self._results, []
        if results:
            self._fleet.record_probes(results).get()
        if self._relay is not None:
            self._relay.exchange(time.monotonic())
        self._publish()
        if self._membership is not None:
            notices = self._fleet.leaving_notices().get()
            if notices != self._notices:
                self._membership.publish(NOTICE_KEY, notices, scopes.WIDE).get()
                self._notices = notices
        self._stop.wait(STEP_INTERVAL_S)

    def _publish(self):
        endpoints = self._fleet.endpoints(time.monotonic()).get()
        leaving = self._fleet.leaving_addresses().get()
        self._router.set_group_endpoints(endpoints, leaving).get()
