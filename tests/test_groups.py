"""A replica group over several VMs in separate processes."""

import hashlib
import json
import threading
import time

import pytest
import urllib3
import yaml

from lynxlanding.platform import http_store
from lynxlanding_bench import caller, fleet, processes

pytestmark = pytest.mark.multiprocess

GROUP_VMS = 3
VMS = 4
EVIDENCE_BOUND_S = 3.0
DOMAIN = "fabric-1"


class GroupInstallation:
    """Stand-ins of the platform and of VMs without a model, and two daemons."""

    def __init__(self, running):
        self.running = running
        self.ports = processes.free_ports(16)
        self.vm_ports = self.ports[3 : 3 + VMS]
        self.store = http_store.HttpObjectStore(self.url(0), urllib3.PoolManager())
        self.history = running.directory / "history.jsonl"

    def url(self, index):
        return f"http://{processes.HOST}:{self.ports[index]}"

    def start(self):
        vms = []
        for index, port in enumerate(self.vm_ports):
            options = ["--port", port, "--history", self.history, "--ignores-fencing-number"]
            self.running.start_standin(f"vm-{index}", "engine", *options)
            vms.append(
                {
                    "name": f"vm-{index}",
                    "address": f"{processes.HOST}:{port}",
                    "place": "konya-a",
                    "fabric_domain": DOMAIN,
                    "accelerators": 8,
                    "state": "live",
                }
            )
        listing = self.running.directory / "vms.json"
        listing.write_text(json.dumps(vms), encoding="utf-8")
        self.running.start_standin("store", "object-api", "--port", self.ports[0])
        self.running.start_standin("vms", "vm-list", "--port", self.ports[1], "--vms", listing)
        self.running.start_standin("weights", "weight-store", "--port", self.ports[2])
        processes.wait_for(self.url(0) + "/stats")
        objects = {
            f"models/{fleet.MODEL}": {"version": "v1", "vms_per_replica": GROUP_VMS},
            "versions/v1": {"model": fleet.MODEL, "weights": "desk/v1"},
            "groups/desk": {"model": fleet.MODEL, "replicas": 1},
            "workspaces/desk": {"token_sha256": [hashlib.sha256(b"desk-secret").hexdigest()]},
        }
        fleet.write_configuration(self.store, objects)
        for index in range(2):
            first = 3 + VMS + 2 * index
            settings = {
                "node_id": f"node-{index}",
                "place": "konya-a",
                "listen": {"port": self.ports[first], "peer_port": self.ports[first + 1]},
                "platform": {
                    "object_api": self.url(0),
                    "vm_list": self.url(1),
                    "weight_store": self.url(2),
                },
                "drain": {"unready_s": 0.1, "limit_s": 10},
            }
            path = self.running.directory / f"node-{index}.yaml"
            path.write_text(yaml.safe_dump(settings), encoding="utf-8")
            self.running.start_daemon(f"node-{index}", path)
        for index in range(2):
            processes.wait_for(self.url(3 + VMS + 2 * index) + "/readyz")

    def caller(self, node):
        return caller.Caller(self.url(3 + VMS + 2 * node), "desk-secret", urllib3.PoolManager())

    def group(self):
        """Return the only group's name and value, or None."""
        for item in self.store.list("domains")[0]:
            for name, value in item.value["groups"].items():
                return name, value
        return None

    def wait_for_group(self, epoch, timeout_s=30.0):
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            found = self.group()
            if found is not None and found[1]["state"] == "ready" and found[1]["epoch"] >= epoch:
                return found[1]
            time.sleep(0.1)
        raise TimeoutError(f"no ready group of epoch {epoch}: {self.group()}")


@pytest.fixture
def group_installation(tmp_path):
    with processes.Processes(tmp_path) as running:
        started = GroupInstallation(running)
        started.start()
        yield started


def test_group_that_lost_a_vm_gets_no_request_until_a_spare_repairs_it(group_installation):
    """Guards against service by an incomplete group (G1) and against a group that stays down."""
    formed = group_installation.wait_for_group(epoch=1)
    callers = [group_installation.caller(node) for node in range(2)]
    _wait_until_served(callers)
    stop = threading.Event()
    sent = []
    threads = []
    for index, client in enumerate(callers):
        thread = threading.Thread(target=_send_requests, args=(client, index, stop, sent))
        thread.start()
        threads.append(thread)
    time.sleep(1.0)
    # The leader would still answer; only the evidence about its group keeps requests away.
    lost = [vm for vm in formed["vms"] if vm != formed["leader"]][0]
    group_installation.running.kill(lost)
    killed_at = time.time()
    repaired = group_installation.wait_for_group(epoch=formed["epoch"] + 1)
    repaired_at = time.time()
    _wait_until_served(callers)
    stop.set()
    for thread in threads:
        thread.join()

    assert lost not in repaired["vms"]
    assert repaired_at - killed_at < 15.0
    late = []
    for moment, epoch in _generated(group_installation.history):
        if epoch == formed["epoch"] and moment > killed_at + EVIDENCE_BOUND_S:
            late.append(moment - killed_at)
    assert late == []
    results = {result for _, result in sent}
    assert results <= {caller.WHOLE, caller.REFUSED}
    refused_at = [moment - killed_at for moment, result in sent if result == caller.REFUSED]
    assert min(refused_at) < EVIDENCE_BOUND_S


def _wait_until_served(callers):
    for client in callers:
        deadline = time.monotonic() + 15.0
        while client.stream("probe", 2).result != caller.WHOLE:
            assert time.monotonic() < deadline
            time.sleep(0.1)


def _send_requests(client, index, stop, sent):
    number = 0
    while not stop.is_set():
        number += 1
        started_at = time.time()
        outcome = client.stream(f"quote {index}.{number}", 2)
        sent.append((started_at, outcome.result))
        time.sleep(0.05)


def _generated(path):
    """Return time and epoch of each request that an engine began."""
    found = []
    for line in path.read_text(encoding="utf-8").splitlines():
        record = json.loads(line)
        if record["event"] == "generate":
            found.append((record["time"], record["epoch"]))
    return found
