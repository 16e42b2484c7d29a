"""Builds the part of a node that manages replica groups and leaving endpoints."""

import numpy as np
import urllib3

from lynxlanding.daemon import clock_reader, domain_loop, evidence_relay
from lynxlanding.groups import (
    domain_actor,
    evidence_rules,
    fleet_controller,
    http_engine_transport,
    lease_rules,
    reconciler,
    repair_rules,
    weighted_policy,
)
from lynxlanding.store import vm_list, weight_store


def make_loop(settings, clock, store, router, membership=None):
    """Return a ``DomainLoop`` with its own actor.

    Parameters
    ----------
    settings : DaemonSettings
        Settings of the node.
    clock : str
        Identity of this process, which names its monotonic clock and the holder of its leases.
    store : ObjectStore
        The object API.
    router : RoutingActor proxy
        Receives the groups' endpoints and the leaving addresses.
    membership : MembershipActor proxy, optional
        Tells the other nodes which endpoints this node saw leaving.
    """
    groups = settings.groups
    policy = weighted_policy.WeightedPolicy(groups.downtime_weight, groups.stranded_weight)
    rules = repair_rules.RepairRules(groups.stranded_bound_s, groups.load_timeout_s)
    fleet = fleet_controller.FleetController(
        settings.node_id,
        clock,
        evidence_rules.EvidenceRules(groups.evidence_bound_s),
        lease_rules.LeaseRules(),
        reconciler.Reconciler(policy, rules),
        groups.tokens_per_s_per_replica,
        settings.place,
        groups.probe_interval_s,
    )
    pool = urllib3.PoolManager(num_pools=4000, maxsize=2)
    vms = None
    if settings.platform.vm_list is not None:
        vms = vm_list.HttpVmList(settings.platform.vm_list, pool)
    weights = None
    if settings.platform.weight_store is not None:
        weights = weight_store.HttpWeightStore(settings.platform.weight_store, pool)
    proxy = domain_actor.DomainActor.start(fleet).proxy().fleet
    relay = None
    if membership is not None:
        relay = evidence_relay.EvidenceRelay(
            proxy, membership, clock_reader.HttpClockReader(pool), settings.node_id, settings.place
        )
    return domain_loop.DomainLoop(
        proxy,
        store,
        vms,
        weights,
        http_engine_transport.HttpEngineTransport(pool, groups.order_timeout_s),
        router,
        membership,
        relay,
        groups,
        np.random.default_rng(settings.seed),
    )
