"""Small stand-ins of the platform, of plain engines and of clients, with the nodes as processes.

Only the standard library is used. Everything listens on 127.0.0.1, in one process beside the nodes,
which are started with the command of ``deploy/system.toml`` and the filled-in ``deploy/node.yaml``.
"""

import asyncio
import json
import os
import pathlib
import random
import re
import shlex
import shutil
import signal
import socket
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
HOST_NAME = "desk.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
SERVICE = "app"
HEARTBEAT_S = 1.2
SILENT_BEATS = 3
DRAIN_MS = 2000
STABLE_WINDOW_MS = 3000
GRACE_S = 8.0
REASONS = {
    200: "OK",
    202: "Accepted",
    404: "Not Found",
    409: "Conflict",
    410: "Gone",
    421: "Misdirected Request",
    500: "Error",
    503: "Service Unavailable",
}


def free_ports(count):
    sockets = []
    for _ in range(count):
        sock = socket.socket()
        sock.bind((HOST, 0))
        sockets.append(sock)
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


async def read_message(reader):
    """Return the first line, the headers and the body of an HTTP message; None at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head[:-4].decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers.append((name.lower(), value.strip()))
    values = dict(headers)
    body = b""
    if values.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size:
                body += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                break
    elif "content-length" in values:
        body = await reader.readexactly(int(values["content-length"]))
    return lines[0], values, body


def response(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'X')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Record:
    """Lines of ``record.txt``; times are seconds since the start of the world."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


class Store:
    """The platform's store in its objects form; linearizable, nothing is lost."""

    PREFIX = "/v1/objects/"

    def __init__(self, record):
        self.record = record
        self.objects = {}
        self.revision = 1
        self.events = []
        self.changed = asyncio.Event()

    async def start(self, port):
        self.server = await asyncio.start_server(self._serve, HOST, port)

    def put(self, kind, name, spec):
        """Write an object as an operator or an engine does."""
        known = self.objects.get((kind, name))
        if known is not None:
            ignored = {**spec, "seq_no": known["spec"].get("seq_no")} if kind == "servers" else spec
            if known["spec"] == ignored:
                return
        self._write(kind, name, spec, known)

    def delete(self, kind, name):
        known = self.objects.pop((kind, name), None)
        if known is not None:
            self.revision += 1
            self._note(kind, known, True)

    def _write(self, kind, name, spec, known):
        self.revision += 1
        created = self.revision if known is None else known["metadata"]["create_rev"]
        written = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "create_rev": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self.objects[(kind, name)] = written
        self._note(kind, written, False)
        return written

    def _note(self, kind, written, tombstone):
        self.events.append((self.revision, kind, {"object": written, "tombstone": tombstone}))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while True:
                line, _, body = await read_message(reader)
                method, target, _ = line.split(" ")
                await asyncio.sleep(0.004)
                status, document = await self.call(method, target, body)
                writer.write(
                    response(
                        status,
                        json.dumps(document).encode(),
                        [("Content-Type", "application/json")],
                    )
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def call(self, method, target, body):
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        kind, _, name = path[len(self.PREFIX) :].partition("/")
        known = self.objects.get((kind, name))
        if method == "GET" and name:
            return (404, {}) if known is None else (200, known)
        if method == "GET" and "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query.get("wait_ms", 0)))
        if method == "GET":
            items = [value for key, value in sorted(self.objects.items()) if key[0] == kind]
            return 200, {"items": items, "has_more": False, "current_rev": self.revision}
        document = json.loads(body) if body else {}
        if method == "POST":
            name = document["metadata"]["name"]
            known = self.objects.get((kind, name))
            if known is not None:
                return 409, known
            return 200, self._write(kind, name, document.get("spec"), None)
        if known is None:
            return 404, {}
        expected = document.get("metadata", {}).get("revision") or query.get("revision")
        if expected is not None and int(expected) != known["metadata"]["revision"]:
            return 409, known
        if method == "DELETE":
            self.delete(kind, name)
            return 200, known
        if document.get("spec") == known["spec"]:
            return 200, known
        return 200, self._write(kind, name, document.get("spec"), known)

    async def _watch(self, kind, after, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            found = [event for at, of, event in self.events if at > after and of == kind]
            left = end - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "current_rev": self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue


class Engine:
    """An engine of the plain service."""

    def __init__(self, world, number, port, zone):
        self.world = world
        self.id = f"i-{number:03d}"
        self.port = port
        self.zone = zone
        self.born = int(time.time() * 1000)
        self.seq_no = 0
        self.beats = True
        self.is_leaving = False
        self.state = "ready"
        self.running = 0
        self.work_s = 0.03
        self.connections = set()
        # Called with the heartbeat; True if it has taken it over.
        self.intercept = None
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, HOST, self.port)
        self._beat_task = asyncio.create_task(self._beat())

    def entry(self):
        return {
            "service": SERVICE,
            "address": f"{HOST}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 6,
            "state": self.state,
            "cold_remaining_ms": 0,
            "seq_no": self.seq_no,
            "born": self.born,
        }

    async def _beat(self):
        while self.beats:
            self.seq_no += 1
            entry = self.entry()
            if self.intercept is None or not self.intercept(entry):
                self.world.store.put("servers", self.id, entry)
            await asyncio.sleep(HEARTBEAT_S)

    def exit(self):
        """End the process: its connections are reset and nothing listens any more."""
        self._server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ")
                writer.write(await self._answer(method, target, headers, body))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def _answer(self, method, target, headers, body):
        request_id = headers.get("x-request-id", "")
        echoed = [("X-Request-Id", request_id)] if request_id else []
        own = [("X-Instance-Id", self.id)]
        expected = headers.get("x-expect-instance")
        if expected is not None and expected != self.id:
            return response(421, b"", own + echoed)
        if target == "/healthz":
            status = 503 if self.is_leaving else 200
            self.world.record.write(f"health {self.id} {status}")
            return response(status, b"", own)
        self.world.runs.append((self.world.record.now(), request_id, self.id, target))
        self.world.record.write(f"run {request_id} at {self.id}")
        self.running += 1
        await asyncio.sleep(self.work_s)
        self.running -= 1
        load = ("X-Instance-Load", f"{self.running},0,6")
        seal = ("X-Response-Seal", f"{self.id}.{request_id}")
        return response(200, body or b"ok", [*echoed, seal, load])


class Node:
    """A node as a process."""

    def __init__(self, world, number, zone):
        self.world = world
        self.name = f"front-{zone}-{number}"
        self.zone = zone
        self.front, self.ready, self.peers, *_ = world.take_ports(4)
        self.metrics = world.take_ports(1)[0]
        self.process = None
        self.starts = 0
        self.started_at = None
        self.is_in_rotation = False

    async def start(self):
        settings = self.world.directory / f"{self.name}.yaml"
        settings.write_text(self.world.render(self), encoding="utf-8")
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["front"]
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["LYNXLANDING_CONFIG"] = str(settings)
        log = open(self.world.directory / f"{self.name}.log", "ab")
        self.starts += 1
        self.process = await asyncio.create_subprocess_exec(
            *shlex.split(role["run"]),
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
            stdin=asyncio.subprocess.DEVNULL,
        )
        log.close()
        self.started_at = self.world.record.now()
        self.world.record.write(f"node {self.name} started")

    def signal(self, number):
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            status, _, _ = await asyncio.wait_for(
                call(self.ready, "GET", "/v1/ready", {"Host": HOST}), 1.0
            )
        except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
            return False
        return status == 200

    async def watch_rotation(self):
        """Ask once a second; two misses take the node out of rotation."""
        misses = 0
        while True:
            if await self.is_ready():
                misses = 0
                self.is_in_rotation = True
            else:
                misses += 1
                if misses >= 2:
                    self.is_in_rotation = False
            await asyncio.sleep(1.0)


async def call(port, method, path, headers, body=b""):
    """Send one request on a new connection; return status, headers and body."""
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        line, values, answer = await read_message(reader)
        return int(line.split(" ")[1]), values, answer
    finally:
        writer.close()


class World:
    """Store, engines, nodes and clients."""

    def __init__(
        self, case_directory, engines=3, zones=("a", "b", "c"), nodes=3, extra_settings=None
    ):
        self.record = Record(pathlib.Path(case_directory) / "record.txt")
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.random = random.Random(7)
        self._ports = free_ports(1 + engines + 5 * nodes)
        self.store_port = self.take_ports(1)[0]
        self.store = Store(self.record)
        self.runs = []
        self.answers = {}
        self.sent = {}
        self.extra = extra_settings or {}
        self.engines = [
            Engine(self, number, self.take_ports(1)[0], zones[number % len(zones)])
            for number in range(engines)
        ]
        self.nodes = [Node(self, number, zones[number % len(zones)]) for number in range(nodes)]
        self._tasks = []
        self._count = 0

    def take_ports(self, count):
        taken, self._ports = self._ports[:count], self._ports[count:]
        return taken

    def fields(self, node):
        return {
            "node": node.name,
            "zone": node.zone,
            "ip": HOST,
            "provider.address": f"{HOST}:{self.store_port}",
            "first_start": node.starts == 0,
            "listen.front": f"{HOST}:{node.front}",
            "listen.ready": f"{HOST}:{node.ready}",
            "port_range.0": node.peers,
            "bounds.budget_ratio": 0.2,
            "bounds.budget_slack": 109,
            "bounds.budget_window_s": 10,
            "bounds.ceiling_window_s": 5,
            "heartbeat_ms": 1200,
            "bounds.grace_s": GRACE_S,
            "limits.memory_mb": 300,
            "limits.max_fds": 4100,
            **self.extra,
        }

    def render(self, node):
        """Fill in the template of the settings."""
        fields = self.fields(node)
        text = (ROOT / "deploy/node.yaml").read_text()
        # All nodes share one address here, so each has a metrics port of its own.
        text = text.replace(":9464", f":{node.metrics}")

        def fill(match):
            name, _, as_json = match[1].partition("|")
            value = fields.get(name)
            return json.dumps(value) if as_json else str(value)

        return re.sub(r"\{\{([a-z_.0-9|]+)\}\}", fill, text)

    def configuration(self, version=1):
        route = {
            "host": HOST_NAME,
            "timeout_ms": 2000,
            "target_latency_ms": 300,
            "priority": 2,
            "service": SERVICE,
            "public": False,
        }
        return {
            "version": version,
            "routes": [
                {
                    **route,
                    "name": "r-book",
                    "path_prefix": "/book/",
                    "kind": "unsafe",
                    "max_attempts": 1,
                },
                {
                    **route,
                    "name": "r-look",
                    "path_prefix": "/look/",
                    "kind": "safe",
                    "max_attempts": 2,
                },
            ],
            "services": [{"name": SERVICE, "health_path": "/healthz", "max_conns": 110}],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
            "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
        }

    async def start(self):
        await self.store.start(self.store_port)
        self.store.put("config", "main", self.configuration())
        for engine in self.engines:
            await engine.start()
        for node in self.nodes:
            await node.start()
            self._tasks.append(asyncio.create_task(node.watch_rotation()))

    async def wait_ready(self, limit_s=25.0):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if all(node.is_in_rotation for node in self.nodes):
                return
            await asyncio.sleep(0.1)
        raise TimeoutError("the nodes are not ready")

    def start_clients(self, clients, per_s, unsafe_share=0.5):
        """Start clients that send requests one after the other, each to a node in rotation."""
        for number in range(clients):
            self._tasks.append(
                asyncio.create_task(self._run_client(number, per_s / clients, unsafe_share))
            )

    async def _run_client(self, number, per_s, unsafe_share):
        await asyncio.sleep(self.random.random() / per_s)
        while True:
            began = time.monotonic()
            await self.send(number, self.random.random() < unsafe_share)
            await asyncio.sleep(max(0.0, began + 1 / per_s - time.monotonic()))

    async def send(self, client, is_unsafe):
        home = self.nodes[client % len(self.nodes)]
        if not home.is_in_rotation:
            others = [node for node in self.nodes if node.is_in_rotation]
            if not others:
                return
            home = self.random.choice(others)
        self._count += 1
        request_id = f"q{self._count:06d}"
        self.sent[request_id] = (self.record.now(), home.name)
        kind = "POST /book/x" if is_unsafe else "GET /look/x"
        self.record.write(f"send {request_id} {kind} to {home.name}")
        method, path = kind.split(" ")
        headers = {
            "Host": HOST_NAME,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "4000",
            "Authorization": f"Bearer {KEY}",
        }
        try:
            status, values, _ = await asyncio.wait_for(
                call(home.front, method, path, headers, b"order" if is_unsafe else b""), 4.0
            )
            outcome = f"{status}{' sealed' if 'x-response-seal' in values else ''}"
        except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError) as e:
            outcome = f"failed {type(e).__name__}"
        self.answers[request_id] = outcome
        self.record.write(f"answer {request_id} {outcome}")

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        for engine in self.engines:
            engine.beats = False
        for node in self.nodes:
            if node.process is not None and node.process.returncode is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                await node.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.directory)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)
