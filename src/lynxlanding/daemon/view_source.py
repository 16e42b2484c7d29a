"""Gathers the tables that operators query, as this node sees the cluster."""

import datetime
import time

from lynxlanding.operators.view import cluster_view, rows


class NodeViewSource:
    """``operators.ports.ViewSource`` of one node.

    Parameters
    ----------
    settings : DaemonSettings
        Settings of the node.
    node_state : NodeState
        Configuration and readiness.
    router : RoutingActor proxy
        Counts of requests in flight by address.
    """

    def __init__(self, settings, node_state, router):
        self._settings = settings
        self._node_state = node_state
        self._router = router

    def cluster_view(self):
        """Return the cluster as this node sees it now."""
        snapshot = self._node_state.configuration
        in_flight = self._router.in_flight().get()
        endpoints = _endpoints(snapshot, in_flight)
        return cluster_view.ClusterView(
            self._settings.node_id,
            snapshot.revision,
            uncertain=False,
            endpoints=tuple(endpoints),
            workspaces=tuple(_workspaces(snapshot)),
            models=tuple(_models(snapshot, endpoints)),
            nodes=(self._own_node(snapshot),),
            services=tuple(_services(snapshot, endpoints)),
            drains=tuple(_drains(snapshot, in_flight)),
            winddown=tuple(_winddown(snapshot, time.time())),
        )

    def _own_node(self, snapshot):
        return rows.NodeRow(
            self._settings.node_id,
            self._settings.place,
            self._settings.region,
            "alive",
            snapshot.revision,
            False,
            0.0,
        )


def _endpoints(snapshot, in_flight):
    draining = {spec.address for spec in snapshot.of_kind("drains").values()}
    models = snapshot.of_kind("models")
    gathered = []
    for service, spec in sorted(snapshot.of_kind("services").items()):
        model = spec.model or ""
        version = models[model].version if model in models else ""
        for address in spec.endpoints:
            is_leaving = address in draining
            gathered.append(
                rows.EndpointRow(
                    address=address,
                    service=service,
                    model=model,
                    version=version,
                    place="",
                    fabric_domain="",
                    group="",
                    state=rows.LEAVING if is_leaving else rows.SERVING,
                    leaving_because="drain" if is_leaving else "",
                    slots=0,
                    running=0,
                    queued=0,
                    in_flight=in_flight.get(address, 0),
                    accelerators=0,
                )
            )
    return gathered


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


def _winddown(snapshot, now):
    for _, spec in sorted(snapshot.of_kind("winddowns").items()):
        date = _aware(spec.date)
        steps = [(_aware(step.at), step.replicas) for step in spec.steps]
        if not steps or steps[-1][0] < date:
            # Nothing is owed after the date.
            steps.append((date, 0))
        for at, replicas in steps:
            yield rows.WinddownRow(spec.model, at, replicas, date, at.timestamp() <= now)


def _aware(moment):
    return moment if moment.tzinfo is not None else moment.replace(tzinfo=datetime.UTC)
