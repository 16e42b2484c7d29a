"""The stand-in of the users' platform and some nodes, as processes."""

import http.client
import itertools
import json
import time

from lynxlanding_bench import processes

NODES = ("n0", "n1")
DATA_CENTRES = ("a", "b")
PORTS_PER_NODE = 4
START_LIMIT_S = 25.0
CALLER_HEADERS = {
    "Host": "site.example",
    "X-Deadline-Ms": "4000",
    "Authorization": "Bearer secret-key",
}


class SiteInstallation:
    """A site and its nodes.

    Parameters
    ----------
    running : Processes
        Owner of the processes.
    engines, plain : int
        Number of model engines, and of endpoints of the plain service.
    heartbeat_s : float
        Seconds between heartbeats of an endpoint.
    node_names : sequence of str, optional
        Names of the nodes, which are in the data centres in turn.
    has_own_hosts : bool, optional
        Whether each node reaches the site at an address of its own, so that it can be cut off.
    site_options : sequence, optional
        Further options of the stand-in's command.
    evacuate_ms : float, optional
        Bound of evacuations in the settings of the nodes. Nodes of earlier versions do not know
        the setting.
    concurrency : int, optional
        Requests that a node handles concurrently.
    node_settings : str, optional
        Further sections of the nodes' settings.
    """

    def __init__(
        self,
        running,
        engines,
        plain,
        heartbeat_s,
        node_names=NODES,
        has_own_hosts=False,
        site_options=(),
        evacuate_ms=None,
        concurrency=60,
        node_settings="",
    ):
        self.running = running
        self._evacuate_ms = evacuate_ms
        self._node_settings = node_settings
        self._concurrency = concurrency
        endpoints = engines + plain
        ports = processes.free_ports(1 + endpoints + PORTS_PER_NODE * len(node_names))
        self.store_port = ports[0]
        options = ["--engines", engines, "--plain", plain, "--heartbeat-s", heartbeat_s]
        options += site_options
        self.hosts = dict.fromkeys(node_names, "127.0.0.1")
        if has_own_hosts:
            options += ["--hosts", len(node_names)]
            self.hosts = {name: f"127.0.1.{i + 1}" for i, name in enumerate(node_names)}
        running.start_standin("site", "site", "--port", self.store_port, *options)
        wait_for(self._is_site_up, "the site listens")
        self.nodes = {}
        ports = ports[1 + endpoints :]
        for name, data_centre in zip(node_names, itertools.cycle(DATA_CENTRES), strict=False):
            self._start_node(name, data_centre, ports[:PORTS_PER_NODE])
            ports = ports[PORTS_PER_NODE:]

    def wait_ready(self):
        """Wait until all nodes are ready."""
        for name in self.nodes:
            wait_for(lambda name=name: self.is_ready(name), f"{name} is ready")

    def control(self, **order):
        """Send an order to the site and return its state."""
        connection = http.client.HTTPConnection("127.0.0.1", self.store_port, timeout=5)
        connection.request("POST", "/control", json.dumps(order))
        answer = json.loads(connection.getresponse().read())
        connection.close()
        return answer

    def finished_durations_s(self, text):
        """Return the durations of requests whose last line in a node's log contains a text."""
        durations = []
        for name in self.nodes:
            for line in (self.running.directory / f"{name}.log").read_text().splitlines():
                if '"lynxlanding:request:finished"' in line and text in line:
                    durations.append(json.loads(line)["duration_s"])
        return durations

    def is_ready(self, name):
        """Return whether a node says that it is ready."""
        connection = http.client.HTTPConnection("127.0.0.1", self.nodes[name][1], timeout=2)
        try:
            connection.request("GET", "/v1/ready")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def _is_site_up(self):
        try:
            return self.control() is not None
        except OSError:
            return False

    def _start_node(self, name, data_centre, ports):
        front, ready, peers, metrics = ports
        self.nodes[name] = (front, ready, metrics)
        path = self.running.directory / f"{name}.yaml"
        path.write_text(
            f"""
node_id: {name}
data_centre: {data_centre}
store_address: "{self.hosts[name]}:{self.store_port}"
is_first_start: true
listen:
  callers: "127.0.0.1:{front}"
  readiness: "127.0.0.1:{ready}"
  peers: "127.0.0.1:{peers}"
  metrics: "127.0.0.1:{metrics}"
requests:
  concurrency: {self._concurrency}
  repeat_slack: 400
{self._node_settings}
{self._evacuation_settings()}"""
        )
        self.running.start(name, "lynxlanding_vm", "--config", path)

    def _evacuation_settings(self):
        if self._evacuate_ms is None:
            return ""
        return f"evacuations: {{bound_ms: {self._evacuate_ms}}}\n"


def wait_for(condition, what, limit_s=START_LIMIT_S):
    """Wait until a condition holds; raises ``TimeoutError`` if it does not in time."""
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.1)
    raise TimeoutError(f"not in time: {what}")
