"""Builds the tables that operators query from the state known to this node."""

import datetime
import logging
import time

from lynxlanding.errors import platform as platform_errors
from lynxlanding.operators.view import cluster_view, rows
from lynxlanding.store import vm

_UNKNOWN_VM = vm.Vm("", "", "", "", 0, vm.LIVE)

_logger = logging.getLogger(__name__)


class NodeViewSource:
    """Implementation of ``operators.interfaces.ViewSource`` for one node.

    Parameters
    ----------
    node_id : str
        Identifier of this node.
    configuration : ConfigurationActor proxy
        Provides the snapshot and the status of the configuration.
    router : RoutingActor proxy
        Provides the number of requests in flight by address.
    node_rows : NodeRowSource
        Provides the rows of the table ``nodes``.
    vm_list : VmList or None
        Provides the place and the accelerators of the endpoints.
    domain_loop : DomainLoop
        Provides the leaving endpoints and the wind-down plans.
    group_sampler : GroupSampler
        Provides the rows of the replica groups.
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
        """Return the view as of now; node and VM data are fetched only for the named tables."""
        snapshot = self._configuration.current().get()
        status = self._configuration.status().get()
        in_flight = self._router.in_flight().get()
        leaving = self._domain_loop.leaving_sources()
        endpoints = (
            *_endpoint_rows(snapshot, in_flight, self._vms_by_address(attributes), leaving),
            *self._group_sampler.endpoint_rows(in_flight),
        )
        return cluster_view.ClusterView(
            self._node_id,
            snapshot.revision,
            uncertain=not status.accepts_changes,
            endpoints=endpoints,
            groups=self._group_sampler.group_rows(time.monotonic()),
            workspaces=tuple(_workspace_rows(snapshot)),
            models=tuple(_model_rows(snapshot, endpoints)),
            nodes=self._node_rows.fetch() if "nodes" in attributes else (),
            services=tuple(_service_rows(snapshot, endpoints)),
            drains=tuple(_drain_rows(snapshot, in_flight)),
            winddown=tuple(_winddown_rows(self._domain_loop.winddowns(), time.time())),
        )

    def _vms_by_address(self, attributes):
        if self._vm_list is None or "endpoints" not in attributes:
            return {}
        try:
            return {vm_entry.address: vm_entry for vm_entry in self._vm_list.fetch()}
        except platform_errors.PlatformError as e:
            _logger.warning("cannot fetch the VM list for the endpoints table: %s", e)
            return {}


def _endpoint_rows(snapshot, in_flight, vms, leaving):
    models = snapshot.of_kind("models")
    for service, spec in sorted(snapshot.of_kind("services").items()):
        model = spec.model or ""
        version = models[model].version if model in models else ""
        for address in spec.endpoints:
            vm_entry = vms.get(address, _UNKNOWN_VM)
            sources = leaving.get(address, ())
            yield rows.EndpointRow(
                address=address,
                service=service,
                model=model,
                version=version,
                place=vm_entry.place,
                fabric_domain=vm_entry.fabric_domain,
                group="",
                state=rows.LEAVING if sources else rows.SERVING,
                leaving_because=" ".join(sources),
                slots=0,
                running=0,
                queued=0,
                in_flight=in_flight.get(address, 0),
                accelerators=vm_entry.accelerators,
            )


def _workspace_rows(snapshot):
    for name, spec in sorted(snapshot.of_kind("workspaces").items()):
        yield rows.WorkspaceRow(
            name,
            spec.owed_requests_per_s,
            spec.owed_tokens_per_s,
            None if spec.until is None else _with_time_zone(spec.until),
            len(spec.token_sha256),
        )


def _model_rows(snapshot, endpoints):
    replicas = {}
    for spec in snapshot.of_kind("groups").values():
        replicas[spec.model] = replicas.get(spec.model, 0) + spec.replicas
    for name, spec in sorted(snapshot.of_kind("models").items()):
        serving = [e for e in endpoints if e.model == name and e.state == rows.SERVING]
        yield rows.ModelRow(
            name, spec.version, spec.vms_per_replica, replicas.get(name, 0), len(serving)
        )


def _service_rows(snapshot, endpoints):
    for name, spec in sorted(snapshot.of_kind("services").items()):
        service_endpoints = [e for e in endpoints if e.service == name]
        serving = [e for e in service_endpoints if e.state == rows.SERVING]
        yield rows.ServiceRow(
            name, spec.kind, spec.model or "", len(service_endpoints), len(serving)
        )


def _drain_rows(snapshot, in_flight):
    for name, spec in sorted(snapshot.of_kind("drains").items()):
        yield rows.DrainRow(name, spec.address, spec.reason, in_flight.get(spec.address, 0))


def _winddown_rows(plans, wall_time):
    for model, plan in sorted(plans.items()):
        for row in plan.rows(wall_time):
            yield rows.WinddownRow(
                model,
                _to_datetime(row.at),
                row.replicas_before,
                row.replicas,
                row.owed_before,
                row.drains_ahead,
                row.drains_at_step,
                _to_datetime(row.first_drain_at),
                _to_datetime(row.released_by),
                _to_datetime(plan.date),
                row.at <= wall_time,
                row.warning,
            )


def _to_datetime(wall_time):
    return datetime.datetime.fromtimestamp(wall_time, datetime.UTC)


def _with_time_zone(date_time):
    return date_time if date_time.tzinfo is not None else date_time.replace(tzinfo=datetime.UTC)
