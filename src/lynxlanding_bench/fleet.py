"""A small installation on loopback: stand-ins, configuration and daemons."""

import hashlib
import time

import numpy as np
import urllib3
import yaml

from lynxlanding.configuration import change, change_ids, commit, encoding, store_calls
from lynxlanding.store import http_store
from lynxlanding_bench import processes

MODEL = "desk-model"
SERVICE = "booking-app"
TOKENS = {"desk": "desk-secret", "yard": "yard-secret"}
PORTS_PER_FLEET = 64


class Fleet:
    """Stand-ins and daemons as separate processes.

    Parameters
    ----------
    running : Processes
        Receives the processes.
    daemons, engines : int
        Number of each.
    engine_options : sequence of str
        Further options of the engine stand-ins.
    service_options : sequence of str
        Further options of the service stand-in.
    request_settings, configuration_settings : dict
        Sections ``requests`` and ``configuration`` of the daemons' settings.
    """

    def __init__(
        self,
        running,
        daemons=2,
        engines=4,
        engine_options=(),
        service_options=(),
        request_settings=None,
        configuration_settings=None,
    ):
        ports = processes.free_ports(PORTS_PER_FLEET)
        self._running = running
        self._object_api_port = ports[0]
        self._service_port = ports[1]
        self._engine_ports = ports[2 : 2 + engines]
        self._daemon_ports = ports[40 : 40 + 2 * daemons]
        self._engine_options = engine_options
        self._service_options = service_options
        self._request_settings = request_settings or {}
        self._configuration_settings = configuration_settings or {}

    @property
    def object_api(self):
        """Base URL of the object API."""
        return f"http://{processes.HOST}:{self._object_api_port}"

    @property
    def engine_ports(self):
        """Ports of the engines."""
        return self._engine_ports

    @property
    def service_url(self):
        """Base URL of the plain service."""
        return f"http://{processes.HOST}:{self._service_port}"

    @property
    def daemon_names(self):
        """Names of the daemons' processes."""
        return [f"node-{i}" for i in range(len(self._daemon_ports) // 2)]

    def daemon_url(self, index):
        """Return the base URL of a daemon's caller listener."""
        return f"http://{processes.HOST}:{self._daemon_ports[2 * index]}"

    def peer_url(self, index):
        """Return the base URL of a daemon's peer listener."""
        return f"http://{processes.HOST}:{self._daemon_ports[2 * index + 1]}"

    def start(self):
        """Start everything and wait until every daemon is ready."""
        self._running.start_standin("object-api", "object-api", "--port", self._object_api_port)
        history = self._running.directory / "history.jsonl"
        for index, port in enumerate(self._engine_ports):
            options = ["--port", port, "--model", MODEL, "--history", history]
            self._running.start_standin(
                f"engine-{index}", "engine", *options, *self._engine_options
            )
        options = ["--port", self._service_port, "--history", history, *self._service_options]
        self._running.start_standin("service", "service", *options)
        processes.wait_for(self.object_api + "/stats")
        self._write_configuration()
        for index, name in enumerate(self.daemon_names):
            self._running.start_daemon(name, self._write_settings(index, name))
        for port in [*self._engine_ports, self._service_port]:
            processes.wait_for(f"http://{processes.HOST}:{port}/healthz")
        for index in range(len(self.daemon_names)):
            processes.wait_for(self.daemon_url(index) + "/readyz")

    def restart_daemon(self, index):
        """Start a daemon that was killed, with the same settings."""
        name = self.daemon_names[index]
        self._running.start_daemon(name, self._running.directory / f"{name}.yaml")

    def _write_settings(self, index, name):
        own_port = self._daemon_ports[2 * index + 1]
        peers = []
        for port in self._daemon_ports[1::2]:
            if port != own_port:
                peers.append(f"{processes.HOST}:{port}")
        settings = {
            "node_id": name,
            "place": ("changamwe", "shimanzi", "miritini")[index % 3],
            "listen": {
                "host": processes.HOST,
                "port": self._daemon_ports[2 * index],
                "peer_port": self._daemon_ports[2 * index + 1],
            },
            "platform": {"object_api": self.object_api},
            "requests": self._request_settings,
            "configuration": self._configuration_settings,
            "membership": {"peers": peers},
            "drain": {"unready_s": 0.3, "limit_s": 30},
        }
        path = self._running.directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings), encoding="utf-8")
        return path

    def _write_configuration(self):
        write_configuration(
            http_store.HttpObjectStore(self.object_api, urllib3.PoolManager()), self.objects()
        )

    def objects(self):
        """Return the configuration objects by kind/name."""
        engines = [f"{processes.HOST}:{port}" for port in self._engine_ports]
        objects = {
            f"models/{MODEL}": {"version": "v1"},
            "versions/v1": {"model": MODEL, "weights": "desk/v1"},
            "services/desk-engines": {"kind": "model", "model": MODEL, "endpoints": engines},
            f"services/{SERVICE}": {
                "kind": "plain",
                "endpoints": [f"{processes.HOST}:{self._service_port}"],
            },
        }
        for workspace, token in TOKENS.items():
            digest = hashlib.sha256(token.encode()).hexdigest()
            objects[f"workspaces/{workspace}"] = {"token_sha256": [digest]}
        return objects


def write_configuration(store, objects):
    """Commit ``objects`` as one change.

    Parameters
    ----------
    store : ObjectStore
        The platform's store.
    objects : dict of str to dict
        Specs by kind/name.
    """
    puts = {}
    for identity, spec in objects.items():
        puts[encoding.split_key(identity)] = spec
    now = time.time()
    change_id = change_ids.generate(now, np.random.default_rng())
    submitted = change.Change(change_id, "setup", puts, statements=("first configuration",))
    return store_calls.run(commit.commit(submitted, now), store)
