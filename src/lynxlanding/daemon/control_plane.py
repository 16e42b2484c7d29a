"""Composition of the membership and the configuration of a node."""

import logging
import threading
import time

import numpy as np
import pykka

from lynxlanding.configuration import (
    change_service,
    configuration_actor,
    head_watcher,
    part_cache,
    revision_fetcher,
    revision_handler,
    revision_log,
)
from lynxlanding.daemon import control_metrics, status_handler
from lynxlanding.errors import base as base_errors
from lynxlanding.membership import (
    capnp_codec,
    discovery,
    exchange_handler,
    exchanger,
    http_transport,
    membership_actor,
    node_info,
    rendezvous,
)
from lynxlanding.transport import strict_connection

REGISTRATION_INTERVAL_S = 60.0
DISCOVERY_INTERVAL_S = 300.0
RETRY_INTERVAL_S = 5.0
GARBAGE_COLLECTION_INTERVAL_S = 3600.0
CONFIGURATION_TICK_INTERVAL_S = 0.25
MAX_PEER_CONNECTION_POOLS = 512

_logger = logging.getLogger(__name__)


class ControlPlane:
    """Builds and runs the actors that synchronise the member list and the configuration.

    Parameters
    ----------
    settings : DaemonSettings
        Settings of the node.
    store : ObjectStore
        The platform's store.
    vm_list : VmList or None
        Provides the VMs to validate changes against.
    on_change : callable
        Called with each new configuration snapshot.
    on_status : callable
        Called with the ``PropagationStatus`` several times per second.
    """

    def __init__(self, settings, store, vm_list, on_change, on_status):
        self._settings = settings
        self._on_status = on_status
        self._stop = threading.Event()
        seeds = np.random.SeedSequence(settings.seed).spawn(3)
        random_states = [np.random.default_rng(seed) for seed in seeds]
        own_info = node_info.NodeInfo(
            settings.node_id,
            int(time.time() * 1000),
            f"{settings.listen.host}:{settings.listen.peer_port}",
            settings.place,
            settings.region,
        )
        self._node_info = own_info
        pool = strict_connection.make_pool_manager(num_pools=MAX_PEER_CONNECTION_POOLS, maxsize=4)
        transport = http_transport.HttpTransport(pool)
        self._codec = capnp_codec.CapnpCodec()
        self._exchanger = exchanger.Exchanger(transport, self._codec)
        self._discovery = discovery.Discovery(store, own_info, settings.membership.peers)
        self._propagation = configuration_actor.make_propagation(settings, random_states[0])
        self._log = revision_log.RevisionLog(part_cache.PartCache())
        self._membership = membership_actor.MembershipActor.start(
            own_info, settings.membership.exchange_interval_s, random_states[1], self._run_exchange
        ).proxy()
        self._address_by_node = {}
        self._configuration = configuration_actor.ConfigurationActor.start(
            self._propagation,
            self._log,
            revision_fetcher.RevisionFetcher(store, transport, self._log),
            head_watcher.HeadWatcher(store, random_states[2], self._stop),
            self._address_by_node.get,
            self._push_exchange,
            on_change,
        ).proxy()
        self._membership.register_callbacks(
            self._propagation.revision_report, self._on_revision_report, self._on_members
        ).get()
        self._membership.set_seeds(self._discovery.configured_addresses)
        self._changes = change_service.ChangeService(store, self._log, self._configuration, vm_list)
        self._metrics = control_metrics.ControlMetrics()

    @property
    def membership(self):
        """Proxy of the ``MembershipActor``: publish, read, subscribe, members."""
        return self._membership

    @property
    def configuration(self):
        """Proxy of the ``ConfigurationActor``: current, status."""
        return self._configuration

    @property
    def changes(self):
        """The ``ChangeService``: plan, commit, history."""
        return self._changes

    def register(self, peer_app):
        """Register the control-plane handlers with the peer listener."""
        peer_app.register(
            exchange_handler.PATH, exchange_handler.ExchangeHandler(self._membership, self._codec)
        )
        peer_app.register(revision_handler.PATH, revision_handler.RevisionHandler(self._log))
        peer_app.register(status_handler.PATH, status_handler.StatusHandler(self._describe_status))

    def start(self):
        """Start the background threads."""
        for target in (self._tick_membership, self._tick_configuration, self._run_discovery):
            threading.Thread(target=target, daemon=True).start()

    def stop(self):
        """Stop the background threads and remove this node from the node list in the store."""
        self._stop.set()
        try:
            self._discovery.deregister()
        except base_errors.LynxlandingError as e:
            _logger.info("cannot remove this node from the node list: %s", e)

    def _run_exchange(self, actor, planned):
        threading.Thread(target=self._exchanger.run, args=(actor, planned), daemon=True).start()

    def _push_exchange(self, count):
        self._membership.exchange_immediately(count)

    def _on_revision_report(self, node_id, revision_report, sent_at):
        self._configuration.revision_report_received(node_id, revision_report, sent_at)

    def _on_members(self, members):
        addresses = {member.node_id: member.address for member in members}
        self._address_by_node.update(addresses)
        for node_id in list(self._address_by_node):
            if node_id not in addresses:
                del self._address_by_node[node_id]
        self._metrics.set_members(members)
        self._configuration.members_changed(members)

    def _tick_membership(self):
        self._configuration.members_changed(self._membership.members().get())
        while not self._stop.wait(self._settings.membership.exchange_interval_s):
            try:
                self._membership.tick().get()
            except pykka.ActorDeadError:
                return
            except Exception:
                _logger.exception("unexpected error in a membership tick")

    def _tick_configuration(self):
        while not self._stop.is_set():
            try:
                status = self._configuration.tick().get()
                self._metrics.set_status(status)
                self._on_status(status)
            except pykka.ActorDeadError:
                return
            except Exception:
                _logger.exception("unexpected error in a configuration tick")
            self._stop.wait(CONFIGURATION_TICK_INTERVAL_S)

    def _run_discovery(self):
        """Periodically register this node, discover other nodes and collect garbage if chosen."""
        next_registration_at = next_discovery_at = time.monotonic()
        next_collection_at = time.monotonic() + GARBAGE_COLLECTION_INTERVAL_S
        while not self._stop.is_set():
            now = time.monotonic()
            has_no_peers = len(self._address_by_node) <= 1
            try:
                if now >= next_registration_at:
                    next_registration_at = now + RETRY_INTERVAL_S
                    self._discovery.register(time.time())
                    next_registration_at = now + REGISTRATION_INTERVAL_S
                if now >= next_discovery_at or (
                    has_no_peers and now >= next_discovery_at - DISCOVERY_INTERVAL_S
                ):
                    next_discovery_at = now + RETRY_INTERVAL_S + DISCOVERY_INTERVAL_S
                    self._membership.set_seeds(self._discovery.find_addresses(time.time()))
                if now >= next_collection_at:
                    next_collection_at = now + GARBAGE_COLLECTION_INTERVAL_S
                    self._collect_garbage_if_chosen()
            except base_errors.LynxlandingError as e:
                _logger.info("cannot update the node list or collect garbage: %s", e)
            except pykka.ActorDeadError:
                return
            self._stop.wait(1.0)

    def _collect_garbage_if_chosen(self):
        nodes = {self._node_info.node_id, *self._address_by_node}
        if rendezvous.choose("config-collect", nodes, 1) == [self._node_info.node_id]:
            self._changes.collect_garbage()

    def _describe_status(self):
        members = []
        for member in self._membership.members().get(timeout=2.0):
            members.append({"node": member.node_id, "place": member.place, "state": member.state})
        status = self._configuration.status().get(timeout=2.0)
        return {
            "node": self._node_info.node_id,
            "place": self._node_info.place,
            "configuration": {
                "state": status.state,
                "revision": status.number,
                "digest": status.digest,
                "target": status.target,
                "confirmed_age_s": status.confirmed_age_s,
                "is_watching": status.is_watching,
            },
            "members": members,
        }
