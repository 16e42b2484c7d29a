"""Factory for the part of a node that manages replica groups and leaving endpoints."""

import numpy as np

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
from lynxlanding.transport import strict_connection


def make_domain_loop(settings, clock_id, store, router, membership=None):
    """Return a ``DomainLoop`` with a newly started actor.

    Parameters
    ----------
    settings : DaemonSettings
        Settings of the node.
    clock_id : str
        Identity of this process. It identifies the monotonic clock and the holder of leases.
    store : ObjectStore
        Client of the object API.
    router : RoutingActor proxy
        Receives the groups' endpoints and the leaving addresses.
    membership : MembershipActor proxy, optional
        Gossips the endpoints that this node has seen leaving.
    """
    groups = settings.groups
    policy = weighted_policy.WeightedPolicy(groups.downtime_weight, groups.stranded_weight)
    rules = repair_rules.RepairRules(groups.stranded_bound_s, groups.load_timeout_s)
    fleet = fleet_controller.FleetController(
        settings.node_id,
        clock_id,
        evidence_rules.EvidenceRules(groups.evidence_bound_s),
        lease_rules.LeaseRules(),
        reconciler.Reconciler(policy, rules),
        groups.tokens_per_s_per_replica,
        settings.place,
        groups.probe_interval_s,
    )
    pool = strict_connection.make_pool_manager(num_pools=4000, maxsize=2)
    vm_list_client = None
    if settings.platform.vm_list is not None:
        vm_list_client = vm_list.HttpVmList(settings.platform.vm_list, pool)
    weight_store_client = None
    if settings.platform.weight_store is not None:
        weight_store_client = weight_store.HttpWeightStore(settings.platform.weight_store, pool)
    proxy = domain_actor.DomainActor.start(fleet).proxy().fleet
    relay = None
    if membership is not None:
        relay = evidence_relay.EvidenceRelay(
            proxy, membership, clock_reader.HttpClockReader(pool), settings.node_id, settings.place
        )
    return domain_loop.DomainLoop(
        proxy,
        store,
        vm_list_client,
        weight_store_client,
        http_engine_transport.HttpEngineTransport(pool, groups.order_timeout_s),
        router,
        membership,
        relay,
        groups,
        np.random.default_rng(settings.seed),
    )
