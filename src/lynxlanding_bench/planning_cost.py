"""Command ``planning-cost``: one planning step and one list of serving endpoints, by size."""

import time

import click
import numpy as np

from lynxlanding.configuration import kinds, snapshot, specs
from lynxlanding.groups import (
    domain,
    engine_report,
    evidence_rules,
    fixed_wait_policy,
    fleet_controller,
    group_record,
    lease_rules,
    probe_result,
    reconciler,
    repair_rules,
    vm_record,
)
from lynxlanding.store import vm
from lynxlanding_bench import result_file

GROUPS = 15
GROUP_VMS = 4
STEP_S = 0.25
PLACE = "place"


@click.command("planning-cost")
@click.option("--sizes", default="10,50,140", show_default=True, help="Numbers of fabric domains.")
@click.option("--steps", default=40, show_default=True, help="Measured steps.")
def command(sizes, steps):
    """Measure the decisions of a node about fabric domains in which nothing happens."""
    rows = []
    for domains in (int(size) for size in sizes.split(",")):
        rows.append(_measure(domains, steps))
    result_file.save("planning-cost", 0, {"steps": steps, "groups per domain": GROUPS}, rows)


def _measure(domains, steps):
    controller, vms = _make(domains)
    planning, listing, served = [], [], 0
    now = 100.0
    for step in range(steps):
        now += STEP_S
        if step % 4 == 0:
            controller.record_probes([_probe(item, now) for item in vms])
        started = time.process_time()
        controller.step(now, now, {})
        planning.append(time.process_time() - started)
        started = time.process_time()
        served = len(controller.endpoints(now))
        listing.append(time.process_time() - started)
    if served != domains * GROUPS:
        raise click.ClickException(f"{served} of {domains * GROUPS} groups serve")
    return {
        "domains": domains,
        "groups": domains * GROUPS,
        "step mean [ms]": float(np.mean(planning) * 1e3),
        "list mean [ms]": float(np.mean(listing) * 1e3),
        "core at 4 per s [%]": float((np.mean(planning) + np.mean(listing)) / STEP_S * 100),
    }


def _make(domains):
    controller = fleet_controller.FleetController(
        "node",
        "node/1",
        evidence_rules.EvidenceRules(),
        lease_rules.LeaseRules(),
        reconciler.Reconciler(
            fixed_wait_policy.FixedWaitPolicy(60.0), repair_rules.RepairRules(300.0, 900.0)
        ),
    )
    objects = {kind: {} for kind in kinds.SPEC_BY_KIND}
    objects["models"]["m"] = specs.ModelSpec(version="v1", vms_per_replica=GROUP_VMS)
    objects["groups"]["g"] = specs.GroupSpec(model="m", replicas=domains * GROUPS)
    controller.set_configuration(snapshot.Snapshot(1, "", objects), 0.0)
    vms = []
    for number in range(domains):
        made = _make_domain(f"fabric-{number}")
        controller.update_domain(made, 1, 0.0)
        for record in made.vms.values():
            vms.append(vm.Vm(record.name, record.address, PLACE, made.name, 8, vm.LIVE))
    controller.update_vms(vms, 0.0)
    return controller, vms


def _make_domain(name):
    records, groups = {}, {}
    for number in range(GROUPS):
        members = tuple(f"{name}-{number}-{index}" for index in range(GROUP_VMS))
        for member in members:
            records[member] = vm_record.VmRecord(member, f"{member}:1", PLACE, 8)
        instances = {member: member for member in members}
        group = f"{name}-g-{number}"
        groups[group] = group_record.GroupRecord(
            group, "g", "m", "v1", (), members, members[0], 1, group_record.READY, 0.0, instances
        )
    return domain.Domain(name, vms=records, groups=groups, group_sequence=GROUPS)


def _probe(item, now):
    group = f"{item.fabric_domain}-g-{item.name.split('-')[2]}"
    report = engine_report.EngineReport(item.name, group, 1, "m", "v1")
    return probe_result.ProbeResult(item.name, item.address, now, report)
