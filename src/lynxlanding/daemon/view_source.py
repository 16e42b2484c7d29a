"""Gathers the tables that operators query, as this node sees the cluster."""

import datetime
import logging
import time

from lynxlanding.errors import platform as platform_errors
from lynxlanding.operators.view import cluster_view, rows
from lynxlanding.store import vm

_UNKNOWN_VM = vm.Vm("", "", "", "", 0, vm.LIVE)

_logger = logging.getLogger(__name__)


class NodeViewSource:
    """``operators.ports.ViewSource`` of one node.

    Parameters
    ----------
    node_id : str
        Name of the node.
    configuration : ConfigurationActor proxy
        Snapshot and status of the configuration.
    router : RoutingActor proxy
        Counts of requests in flight by address.
    node_rows : NodeRowSource
        Rows of the table ``nodes``.
    vm_list : VmList or None
        Place and accelerators of the endpoints.
    domain_loop : DomainLoop
        Leaving endpoints and wind-down plans.
    group_watch : GroupWatch
        Replica groups.
    """

    def __init__(
        self, node_id, configuration, router, node_rows, vm_list, domain_loop, group_sampler
    ):
        self._node_id = node_id
        self._configuration = configuration
        self._router = router
        self._node_rows = node_rows
        self._vm_list = vm_list
        self._domain_loop = domain_loop
        self._group_sampler = group_sampler

    def cluster_view(self, attributes):
        """Return the named tables as this node sees the cluster now."""
        snapshot = self._configuration.current().get()
        status = self._configuration.status().get()
        in_flight = self._router.in_flight().get()
        leaving = self._domain_loop.leaving_sources()
        endpoints = (
            *_endpoints(snapshot, in_flight, self._vms(attributes), leaving),
            *self._group_sampler.endpoint_rows(in_flight),
        )
        return cluster_view.ClusterView(
            self._node_id,
            snapshot.revision,
            uncertain=not status.accepts_changes,
            endpoints=endpoints,
            groups=self._group_sampler.group_rows(time.monotonic()),
            workspaces=tuple(_workspaces(snapshot)),
            models=tuple(_models(snapshot, endpoints)),
            nodes=self._node_rows.fetch() if "nodes" in attributes else (),
            services=tuple(_services(snapshot, endpoints)),
            drains=tuple(_drains(snapshot, in_flight)),
            winddown=tuple(_winddown(self._domain_loop.winddowns(), time.time())),
        )

    def _vms(self, attributes):
        if self._vm_list is None or "endpoints" not in attributes:
            return {}
        try:
            return {found.address: found for found in self._vm_list.fetch()}
        except platform_errors.PlatformError as e:
            _logger.warning("the view of the endpoints lacks the VM list: %s", e)
            return {}


def _endpoints(snapshot, in_flight, vms, leaving):
    models = snapshot.of_kind("models")
    for service, spec in sorted(snapshot.of_kind("services").items()):
        model = spec.model or ""
        version = models[model].version if model in models else ""
        for address in spec.endpoints:
            found = vms.get(address, _UNKNOWN_VM)
            causes = leaving.get(address, ())
            yield rows.EndpointRow(
                address=address,
                service=service,
                model=model,
                version=version,
                place=found.place,
                fabric_domain=found.fabric_domain,
                group="",
                state=rows.LEAVING if causes else rows.SERVING,
                leaving_because=" ".join(causes),
                slots=0,
                running=0,
                queued=0,
                in_flight=in_flight.get(address, 0),
                accelerators=found.accelerators,
            )


def _workspaces(snapshot):
    for name, spec in sorted(snapshot.of_kind("workspaces").items()):
        yield rows.WorkspaceRow(
            name,
            spec.owed_requests_per_s,
            spec.owed_tokens_per_s,
            None if spec.until is None else _aware(spec.until),
            len(spec.token_sha256),
        )


def _models(snapshot, endpoints):
    replicas = {}
    for spec in snapshot.of_kind("groups").values():
        replicas[spec.model] = replicas.get(spec.model, 0) + spec.replicas
    for name, spec in sorted(snapshot.of_kind("models").items()):
        serving = [e for e in endpoints if e.model == name and e.state == rows.SERVING]
        yield rows.ModelRow(
            name, spec.version, spec.vms_per_replica, replicas.get(name, 0), len(serving)
        )


def _services(snapshot, endpoints):
    for name, spec in sorted(snapshot.of_kind("services").items()):
        own = [e for e in endpoints if e.service == name]
        serving = [e for e in own if e.state == rows.SERVING]
        yield rows.ServiceRow(name, spec.kind, spec.model or "", len(own), len(serving))


def _drains(snapshot, in_flight):
    for name, spec in sorted(snapshot.of_kind("drains").items()):
        yield rows.DrainRow(name, spec.address, spec.reason, in_flight.get(spec.address, 0))


def _winddown(plans, wall_time):
    for model, plan in sorted(plans.items()):
        for row in plan.rows(wall_time):
            yield rows.WinddownRow(
                model,
                _moment(row.at),
                row.replicas_before,
                row.replicas,
                row.owed_before,
                row.drains_ahead,
                row.drains_at_step,
                _moment(row.first_drain_at),
                _moment(row.released_by),
                _moment(plan.date),
                row.at <= wall_time,
                row.warning,
            )


def _moment(wall_time):
    return datetime.datetime.fromtimestamp(wall_time, datetime.UTC)


def _aware(moment):
    return moment if moment.tzinfo is not None else moment.replace(tzinfo=datetime.UTC)
