"""Command ``lynx-standins``: each stand-in as a process of its own, on loopback only."""

import json

import click

from lynxlanding_standins import (
    engine,
    history_file,
    object_api,
    port_server,
    service,
    vm_list,
    weight_store,
)
from lynxlanding_standins.site import application


@click.group()
def main():
    """Run one stand-in for an outside system."""


@main.command("object-api")
@click.option("--port", type=int, required=True)
@click.option("--reads-per-s", type=float, default=2000.0)
@click.option("--writes-per-s", type=float, default=300.0)
def run_object_api(port, reads_per_s, writes_per_s):
    """Serve the platform's object API."""
    _serve(object_api.ObjectApi(reads_per_s, writes_per_s).app(), [port])


@main.command("vm-list")
@click.option("--port", type=int, required=True)
@click.option("--vms", type=click.Path(exists=True), help="JSON file with a list of VMs.")
@click.option("--lag-s", type=float, default=0.0)
def run_vm_list(port, vms, lag_s):
    """Serve the platform's VM list."""
    entries = []
    if vms:
        with open(vms, encoding="utf-8") as file:
            entries = json.load(file)
    _serve(vm_list.VmListApi(entries, lag_s).app(), [port])


@main.command("weight-store")
@click.option("--port", type=int, required=True)
@click.option("--permits-per-s", type=float, default=2.0)
def run_weight_store(port, permits_per_s):
    """Serve the platform's weight store."""
    _serve(weight_store.WeightStoreApi(permits_per_s).app(), [port])


@main.command("engine")
@click.option("--port", type=int, required=True, help="Port of the first engine.")
@click.option("--count", type=int, default=1, help="Engines, on consecutive ports.")
@click.option("--model", default=None)
@click.option("--slots", type=int, default=64)
@click.option("--queue-limit", type=int, default=64)
@click.option("--cache-prefixes", type=int, default=256)
@click.option("--token-interval-ms", type=float, default=25.0)
@click.option("--prefill-ms", type=float, default=25.0)
@click.option("--load-ms", type=float, default=200.0)
@click.option("--report-lag-ms", type=float, default=100.0)
@click.option("--checks-fencing-number/--ignores-fencing-number", default=True)
@click.option("--history", type=click.Path(), default=None)
def run_engine(
    port,
    count,
    model,
    slots,
    queue_limit,
    cache_prefixes,
    token_interval_ms,
    prefill_ms,
    load_ms,
    report_lag_ms,
    checks_fencing_number,
    history,
):
    """Serve model engines."""
    ports = list(range(port, port + count))
    states = engine.make_states(ports, slots, queue_limit, cache_prefixes, checks_fencing_number)
    for state in states.values():
        state.model = model
    app = engine.EngineApp(
        states,
        token_interval_ms / 1000,
        prefill_ms / 1000,
        load_ms / 1000,
        report_lag_ms / 1000,
        history_file.HistoryFile(history, f"engine-{port}"),
    )
    _serve(app, ports)


@main.command("service")
@click.option("--port", type=int, required=True)
@click.option("--work-ms", type=float, default=20.0)
@click.option("--history", type=click.Path(), default=None)
def run_service(port, work_ms, history):
    """Serve a plain service."""
    record = history_file.HistoryFile(history, f"service-{port}")
    _serve(service.ServiceApi(work_ms / 1000, record).app(), [port])


@main.command("site")
@click.option("--port", type=int, required=True, help="Port of the store.")
@click.option("--engines", type=int, default=20, help="Engines, on the ports that follow.")
@click.option("--plain", type=int, default=2, help="Endpoints of the plain service.")
@click.option("--heartbeat-s", type=float, default=0.3, help="Between heartbeats of an endpoint.")
@click.option("--hosts", type=int, default=0, help="Further addresses, from 127.0.1.1 on.")
@click.option("--domains", type=int, default=2, help="Fabric domains of the engines.")
@click.option("--report-lag-s", type=float, default=0.0, help="Age of what engines report.")
@click.option("--cold-start-s", type=float, default=0.0, help="Time for which engines are cold.")
@click.option("--cold-per-s", type=float, default=0.0, help="Requests that cold engines bear.")
@click.option("--zonal-domains", is_flag=True, help="Put each fabric domain into one zone.")
def run_site(
    port,
    engines,
    plain,
    heartbeat_s,
    hosts,
    domains,
    report_lag_s,
    cold_start_s,
    cold_per_s,
    zonal_domains,
):
    """Serve the users' platform: its store, engines that form groups, and a plain service."""
    ports = list(range(port, port + 1 + engines + plain))
    site = application.Site(
        ports,
        engines,
        heartbeat_s,
        domains,
        report_lag_s,
        cold_start_s,
        cold_per_s,
        has_zonal_domains=zonal_domains,
    )
    addresses = [port_server.HOST, *(f"127.0.1.{number + 1}" for number in range(hosts))]
    server = port_server.PortServer(site, ports, addresses)
    site.use_server(server)
    server.serve_ports()


def _serve(app, ports):
    port_server.PortServer(app, ports).serve_ports()


if __name__ == "__main__":
    main()
