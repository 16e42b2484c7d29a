"""Checks of replica groups (G1, G2)."""

from lynxlanding_bench.history import violation


def check_vm_assignment(history):
    """Find VMs that belong to two groups at once."""
    groups_by_domain = {}
    found = []
    for record in history.of_event("domain"):
        groups_by_domain[record["domain"]] = record["groups"]
        owner = {}
        for domain, groups in groups_by_domain.items():
            for group, vms in groups.items():
                for vm in vms:
                    identity = f"{domain}/{group}"
                    if owner.setdefault(vm, identity) != identity:
                        text = f"is in {owner[vm]} and {identity} at {record['time']:.3f}"
                        found.append(violation.Violation(violation.VM_IN_TWO_GROUPS, vm, text))
    return list(dict.fromkeys(found))


def check_incomplete_groups(history, evidence_bound_s):
    """Find work that began on a group longer than the bound after the loss of one of its VMs.

    Parameters
    ----------
    history : History
        The history.
    evidence_bound_s : float
        Time after which every node has noticed the loss.
    """
    members = {}
    down_since = {}
    found = []
    # A lost VM matters while it is a member, so both kinds of change are followed in time.
    for record in history.of_event("domain", "vm_down", "vm_up", "generate"):
        event = record["event"]
        if event == "domain":
            for group, vms in record["groups"].items():
                members[group] = vms
        elif event == "vm_down":
            down_since.setdefault(record["vm"], record["time"])
        elif event == "vm_up":
            down_since.pop(record["vm"], None)
        else:
            found.extend(_check_work(record, members, down_since, evidence_bound_s))
    return found


def _check_work(record, members, down_since, evidence_bound_s):
    arrived = record.get("arrived", record["time"])
    for vm in members.get(record.get("group"), ()):
        since = down_since.get(vm)
        if since is not None and arrived - since > evidence_bound_s:
            text = (
                f"group {record['group']} began request {record['request_id']}"
                f" {arrived - since:.2f} s after the loss of {vm}"
            )
            return [
                violation.Violation(violation.INCOMPLETE_GROUP_SERVED, record["request_id"], text)
            ]
    return []
