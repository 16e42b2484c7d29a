"""A small installation with replica groups: stand-ins of the platform, VMs and daemons."""

import hashlib
import json
import time

import urllib3
import yaml

from lynxlanding.store import http_store
from lynxlanding_bench import caller, fleet, processes

DOMAIN = "fabric-1"
PLACE = "konya-a"
TOKEN = "desk-secret"
ACCELERATORS = 8


class GroupFleet:
    """VMs without a model in one fabric domain, and daemons that form groups on them.

    Parameters
    ----------
    running : Processes
        Receives the processes.
    vms, group_vms, groups, daemons : int
        Numbers of VMs, VMs of a group, groups and daemons.
    engine_options : sequence of str
        Further options of the engine stand-ins.
    blind_nodes : sequence of int
        Daemons that cannot reach the VM list.
    """

    def __init__(
        self,
        running,
        vms=4,
        group_vms=3,
        groups=1,
        daemons=2,
        engine_options=(),
        blind_nodes=(),
    ):
        ports = processes.free_ports(4 + vms + 2 * daemons)
        self._blind_nodes = blind_nodes
        self._unused_port = ports.pop()
        self._running = running
        self._platform_ports = ports[:3]
        self._vm_ports = ports[3 : 3 + vms]
        self._daemon_ports = ports[3 + vms :]
        self._group_vms = group_vms
        self._groups = groups
        self._engine_options = engine_options
        self._pool = urllib3.PoolManager()
        self._store = http_store.HttpObjectStore(self._url(self._platform_ports[0]), self._pool)

    @property
    def store(self):
        """Client of the object API."""
        return self._store

    @property
    def object_api(self):
        """Base URL of the object API."""
        return self._url(self._platform_ports[0])

    @property
    def history_path(self):
        """File with what the engines did."""
        return self._running.directory / "history.jsonl"

    def start(self):
        """Start everything and wait until the daemons are ready."""
        for index, port in enumerate(self._vm_ports):
            options = ["--port", port, "--history", self.history_path, "--ignores-fencing-number"]
            self._running.start_standin(f"vm-{index}", "engine", *options, *self._engine_options)
        listing = self._running.directory / "vms.json"
        listing.write_text(json.dumps(self.vms()), encoding="utf-8")
        api, vm_list, weights = self._platform_ports
        self._running.start_standin("store", "object-api", "--port", api)
        self._running.start_standin("vms", "vm-list", "--port", vm_list, "--vms", listing)
        self._running.start_standin(
            "weights", "weight-store", "--port", weights, "--permits-per-s", 20
        )
        processes.wait_for(self._url(api) + "/stats")
        fleet.write_configuration(self._store, self.objects())
        for index in range(len(self._daemon_ports) // 2):
            self._running.start_daemon(f"node-{index}", self._write_settings(index))
        for port in self._daemon_ports[::2]:
            processes.wait_for(self._url(port) + "/readyz")

    def callers(self):
        """Return one caller for each daemon."""
        clients = []
        for port in self._daemon_ports[::2]:
            pool = urllib3.PoolManager(maxsize=16)
            clients.append(caller.Caller(self._url(port), TOKEN, pool))
        return clients

    def peer_url(self, index):
        """Return the base URL of a daemon's peer listener."""
        return self._url(self._daemon_ports[2 * index + 1])

    def vms(self, leaving=()):
        """Return the VM list; the VMs named in ``leaving`` are leaving."""
        entries = []
        for index, port in enumerate(self._vm_ports):
            name = f"vm-{index}"
            entries.append(
                {
                    "name": name,
                    "address": f"{processes.HOST}:{port}",
                    "place": PLACE,
                    "fabric_domain": DOMAIN,
                    "accelerators": ACCELERATORS,
                    "state": "leaving" if name in leaving else "live",
                }
            )
        return entries

    def objects(self):
        """Return the configuration objects by kind/name."""
        return {
            f"models/{fleet.MODEL}": {"version": "v1", "vms_per_replica": self._group_vms},
            "versions/v1": {"model": fleet.MODEL, "weights": "desk/v1"},
            "groups/desk": {"model": fleet.MODEL, "replicas": self._groups},
            "workspaces/desk": {"token_sha256": [hashlib.sha256(TOKEN.encode()).hexdigest()]},
        }

    def replace_vm_list(self, vms):
        """Make the VM list serve other VMs."""
        url = self._url(self._platform_ports[1]) + "/vms"
        self._pool.request("PUT", url, json={"vms": vms}, retries=False)

    def set_store_faults(self, **faults):
        """Switch faults of the object API."""
        url = self._url(self._platform_ports[0]) + "/faults"
        self._pool.request("POST", url, json=faults, retries=False)

    def order(self, address, order):
        """Send an order to an engine, as another controller would."""
        self._pool.request("POST", f"http://{address}/orders", json=order, retries=False)

    def commit(self, objects):
        """Accept a change that puts the given objects."""
        fleet.write_configuration(self._store, objects)

    def groups(self):
        """Return the groups of the domain object by name."""
        for item in self._store.list("domains")[0]:
            return item.value["groups"]
        return {}

    def wait_for_groups(self, epoch=1, timeout_s=30.0):
        """Wait until all groups are ready, one of them with at least ``epoch``; return them."""
        deadline = time.monotonic() + timeout_s
        groups = {}
        while time.monotonic() < deadline:
            groups = self.groups()
            ready = [group for group in groups.values() if group["state"] == "ready"]
            is_complete = len(ready) == len(groups) == self._groups
            if is_complete and max(group["epoch"] for group in ready) >= epoch:
                return groups
            time.sleep(0.05)
        raise TimeoutError(f"no {self._groups} ready groups, one of epoch {epoch}: {groups}")

    def read_history(self):
        """Return the engines' records."""
        records = []
        for line in self.history_path.read_text(encoding="utf-8").splitlines():
            records.append(json.loads(line))
        return records

    def _url(self, port):
        return f"http://{processes.HOST}:{port}"

    def _write_settings(self, index):
        ports = self._daemon_ports[2 * index : 2 * index + 2]
        api, vm_list, weights = self._platform_ports
        if index in self._blind_nodes:
            vm_list = self._unused_port
        settings = {
            "node_id": f"node-{index}",
            "place": PLACE,
            "listen": {"port": ports[0], "peer_port": ports[1]},
            "platform": {
                "object_api": self._url(api),
                "vm_list": self._url(vm_list),
                "weight_store": self._url(weights),
            },
            "drain": {"unready_s": 0.1, "limit_s": 10},
        }
        path = self._running.directory / f"node-{index}.yaml"
        path.write_text(yaml.safe_dump(settings), encoding="utf-8")
        return path
