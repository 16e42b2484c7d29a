"""Starts nodes with the command and the template of the deploy file, as the platform does."""

import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import threading
import time
import tomllib
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]
ROLE = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["front"]
# Settings of a machine of a small deployment (pwani-blast).
BOUNDS = {"budget_ratio": 0.2, "budget_slack": 109, "budget_window_s": 10}
BOUNDS |= {"ceiling_window_s": 5, "grace_s": 8}
MEMORY_MB = 300
MAX_FDS = 4100
RESTART_DELAY_S = 0.5
START_LIMIT_S = 25.0
CANNOT_RUN = 2
_RANDOM = random.SystemRandom()


def free_ports(count):
    """Return TCP ports that are free on loopback, below those that outgoing connections take."""
    found = []
    while len(found) < count:
        port = _RANDOM.randrange(10_000, 30_000)
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in found:
            found.append(port)
    return found


def fill_template(text, fields):
    """Fill in the placeholders of a template, of which ``deploy/node.yaml`` has two kinds."""

    def fill(match):
        value = fields
        for part in match["path"].split("."):
            value = value.get(part) if isinstance(value, dict) else value[int(part)]
            if value is None:
                break
        if match["json"]:
            return json.dumps(value)
        return "" if value is None else str(value)

    return re.sub(r"\{\{(?P<path>[a-z_0-9.]+)(?P<json>\|json)?\}\}", fill, text)


class Node:
    """One node, which the platform kills over its memory and starts again when it has ended."""

    def __init__(self, name, zone, store_port, directory):
        self.name = name
        front, ready, peers, metrics = free_ports(4)
        self.front, self.ready = front, ready
        fields = {
            "node": name,
            "zone": zone,
            "ip": "127.0.0.1",
            "port_range": [peers, peers + 15],
            "first_start": True,
            "heartbeat_ms": 1200,
            "listen": {"front": f"127.0.0.1:{front}", "ready": f"127.0.0.1:{ready}"},
            "limits": {"memory_mb": MEMORY_MB, "max_fds": MAX_FDS},
            "bounds": BOUNDS,
            "provider": {"address": f"127.0.0.1:{store_port}"},
        }
        text = fill_template((ROOT / ROLE["template"]).read_text(), fields)
        # The template's port for metrics is the same on every machine; here all are one machine.
        text = text.replace("127.0.0.1:9464", f"127.0.0.1:{metrics}")
        self.path = pathlib.Path(directory) / f"{name}.yaml"
        self.path.write_text(text)
        self.log_path = pathlib.Path(directory) / f"{name}.log"
        self.process = None
        self.peak_mb = 0.0
        # Times at which the platform has killed the process, with its memory.
        self.kills = []
        # Times at which the process has ended without a signal of the platform or the case.
        self.exits = []
        self.is_stopping = False
        self.start()
        threading.Thread(target=self._watch, daemon=True).start()

    def start(self):
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["LYNXLANDING_CONFIG"] = str(self.path)
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                ROLE["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def _watch(self):
        while not self.is_stopping:
            time.sleep(0.02)
            if self.process.poll() is not None:
                self.exits.append(time.monotonic())
                time.sleep(RESTART_DELAY_S)
                if not self.is_stopping:
                    self.start()
                continue
            memory_mb = self.memory_mb()
            self.peak_mb = max(self.peak_mb, memory_mb)
            if memory_mb > MEMORY_MB:
                # "A process that exceeds memory_mb is killed."
                self.kills.append((time.monotonic(), round(memory_mb)))
                self.process.send_signal(signal.SIGKILL)
                self.process.wait()

    def memory_mb(self):
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        match = re.search(r"VmRSS:\s+(\d+)", text)
        return 0.0 if match is None else int(match[1]) / 1024

    def is_ready(self):
        try:
            with urllib.request.urlopen(f"http://127.0.0.1:{self.ready}/v1/ready", timeout=2) as r:
                return r.status == 200
        except OSError:
            return False

    def wait_ready(self):
        end = time.monotonic() + START_LIMIT_S
        while time.monotonic() < end:
            if self.is_ready():
                return True
            time.sleep(0.1)
        return False

    def stop(self):
        self.is_stopping = True
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()
