"""Small stand-ins of the platform, and nodes as processes, for the scripts of the review.

Only the standard library is used. The stand-ins follow PROTOCOL.md; where that page is silent, they
behave like a sound platform, engine or client.
"""

import asyncio
import json
import os
import pathlib
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.2
HOST_NAME = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
MODEL = "daka510000"
START_LIMIT_S = 30.0


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, directory):
        self._started_at = time.monotonic()
        self._file = open(pathlib.Path(directory) / "record.txt", "w", encoding="utf-8")

    def write(self, text):
        """Append a line with the time since the start."""
        self._file.write(f"{time.monotonic() - self._started_at:9.3f} {text}\n")

    def close(self):
        """Write everything out."""
        self._file.close()


def free_ports(count):
    """Return so many TCP ports that are free on loopback."""
    sockets = []
    for _ in range(count):
        sock = socket.socket()
        sock.bind(("127.0.0.1", 0))
        sockets.append(sock)
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


async def read_head(reader):
    """Return the first line and the headers of a message; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_request(reader):
    """Return method, target, headers and body of a request, or None."""
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    length = int(head[1].get("content-length", "0"))
    try:
        body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return method, target, head[1], body


def encode(status, reason, headers, body):
    """Return a response with a length."""
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Store:
    """The platform's metadata store, in its objects form."""

    def __init__(self):
        self.objects = {}
        self.revision = 1
        self.events = []
        self._changed = asyncio.Event()

    def put(self, kind, name, spec):
        """Write an object for the operator or an engine."""
        known = self.objects.get((kind, name))
        if known is not None:
            # A heartbeat that changes nothing else does not change the entry.
            unchanged = dict(spec)
            if "seq_no" in spec:
                unchanged["seq_no"] = known["spec"].get("seq_no")
            if known["spec"] == unchanged:
                return
        self._write(kind, name, spec, known)

    def remove(self, kind, name):
        """Remove an object, if there is one."""
        known = self.objects.pop((kind, name), None)
        if known is not None:
            self.revision += 1
            self._note(kind, known, True)

    def _write(self, kind, name, spec, known):
        self.revision += 1
        created = self.revision if known is None else known["metadata"]["create_rev"]
        document = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "create_rev": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": {},
        }
        self.objects[kind, name] = document
        self._note(kind, document, False)
        return document

    def _note(self, kind, document, is_deleted):
        self.events.append((self.revision, kind, document, is_deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(self, reader, writer):
        """Serve the calls of one connection."""
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                status, document = await self._call(*request)
                body = json.dumps(document).encode()
                headers = [("Content-Type", "application/json")]
                writer.write(encode(status, "Status", headers, body))
                await writer.drain()
        except ConnectionError:
            return
        finally:
            writer.close()

    async def _call(self, method, target, headers, body):
        path, _, query_text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text))
        parts = path.split("/")
        if len(parts) < 4:
            return 404, {}
        kind = parts[3]
        name = urllib.parse.unquote(parts[4]) if len(parts) > 4 else None
        if name is None:
            return await self._read(kind, query)
        known = self.objects.get((kind, name))
        document = json.loads(body) if body else {}
        if method == "GET":
            return (404, {}) if known is None else (200, known)
        if method == "POST":
            if known is not None:
                return 409, known
            return 201, self._write(kind, name, document.get("spec"), None)
        if known is None:
            return 404, {}
        expected = document.get("metadata", {}).get("revision") or query.get("revision")
        if expected is not None and int(expected) != known["metadata"]["revision"]:
            return 409, known
        if method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        if document.get("spec") == known["spec"]:
            return 200, known
        return 200, self._write(kind, name, document.get("spec"), known)

    async def _read(self, kind, query):
        if "watch" not in query:
            items = [item for (other, _), item in sorted(self.objects.items()) if other == kind]
            return 200, {"items": items, "has_more": False, "current_rev": self.revision}
        after = int(query["watch"])
        end = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            changed = self._changed
            events = []
            for revision, other, document, is_deleted in self.events:
                if revision > after and other == kind:
                    events.append({"object": document, "tombstone": is_deleted})
            left_s = end - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue


class Engine:
    """An engine of a plain service; ``answer`` is called with each request that it runs."""

    def __init__(self, store, record, engine_id, service, port, answer):
        self.store = store
        self.record = record
        self.engine_id = engine_id
        self.service = service
        self.port = port
        self.born = int(time.time() * 1000)
        self.runs = []
        self.slots = 6
        self._answer = answer
        self._beats = 0

    def register(self):
        """Write the registration."""
        self._beats += 1
        self.store.put(
            "servers",
            self.engine_id,
            {
                "service": self.service,
                "address": f"127.0.0.1:{self.port}",
                "zone": "changamwe",
                "version": "v1",
                "slots": self.slots,
                "state": "ready",
                "cold_remaining_ms": 0,
                "seq_no": self._beats,
                "born": self.born,
            },
        )

    async def serve(self, reader, writer):
        """Serve the requests of one connection."""
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                if not await self._serve_one(request, writer):
                    return
        except ConnectionError:
            return
        finally:
            writer.close()

    async def _serve_one(self, request, writer):
        method, target, headers, body = request
        expected = headers.get("x-expect-instance")
        own = [("X-Instance-Id", self.engine_id)]
        if expected not in (None, self.engine_id):
            writer.write(encode(421, "Misdirected Request", own, b""))
            return True
        if target == "/healthz":
            writer.write(encode(200, "OK", own, b""))
            return True
        request_id = headers.get("x-request-id", "")
        self.runs.append(request_id)
        self.record.write(f"run {request_id} at {self.engine_id}")
        return await self._answer(self, request_id, request, writer)


class ModelEngine(Engine):
    """An engine that forms groups with others; the head of an open group serves streams."""

    JOIN_S = 0.2

    def __init__(self, store, record, engine_id, port, domain, site, answer):
        super().__init__(store, record, engine_id, "desk-model", port, answer)
        self.domain = domain
        self.site = site
        self.slots = 9
        self.group = None
        self.model = None
        self.staged = []
        self.running = 0
        self.seen_epoch = 0
        self.orders = 0

    def state(self):
        """Return what registrations and reports say of the engine."""
        group = None
        if self.group is not None:
            group = {
                "name": self.group["name"],
                "epoch": self.group["epoch"],
                "rank": self.group["members"].index(self.engine_id),
                "state": self.group["state"],
            }
        models = [{"name": self.model, "version": 1, "adapters": []}] if self.model else []
        return {
            "domain": self.domain,
            "stage": "both",
            "models": models,
            "staged": list(self.staged),
            "group": group,
        }

    def register(self):
        """Write the registration."""
        self._beats += 1
        self.store.put(
            "servers",
            self.engine_id,
            {
                "service": self.service,
                "address": f"127.0.0.1:{self.port}",
                "zone": "changamwe",
                "version": "v1",
                "slots": self.slots,
                "state": "ready",
                "cold_remaining_ms": 0,
                "seq_no": self._beats,
                "born": self.born,
                **self.state(),
            },
        )

    async def _serve_one(self, request, writer):
        method, target, headers, body = request
        own = [("X-Instance-Id", self.engine_id)]
        if headers.get("x-expect-instance") not in (None, self.engine_id):
            writer.write(encode(421, "Misdirected Request", own, b""))
            return True
        if target == "/healthz":
            writer.write(encode(200, "OK", own, b""))
            return True
        if target == "/v1/report":
            report = {**self.state(), "born": self.born, "busy": False, "seq_no": self.orders}
            report.update(waiting=0, running=self.running, kv_used=0, kv_total=984705, handles=0)
            writer.write(encode(200, "OK", [], json.dumps(report).encode()))
            return True
        if target == "/v1/order":
            status = self._order(json.loads(body))
            self.record.write(f"order {status} at {self.engine_id}: {body.decode()}")
            self.register()
            writer.write(encode(status, "Status", [], b"{}"))
            return True
        group = self.group
        if group is None or group["members"][0] != self.engine_id:
            writer.write(encode(421, "Misdirected Request", own, b""))
            return True
        if group["state"] != "open":
            writer.write(encode(503, "Service Unavailable", [("X-Not-Executed", "1")], b""))
            return True
        request_id = headers.get("x-request-id", "")
        self.runs.append(request_id)
        self.record.write(f"run {request_id} at {self.engine_id}")
        self.running += 1
        try:
            return await self._answer(self, request_id, request, writer)
        finally:
            self.running -= 1

    def _order(self, order):
        kind = order["operation"]
        if kind == "stage":
            self.staged = [order["model"]]
            self.orders += 1
            return 202
        if kind == "join":
            return self._join(order)
        group = self.group
        if group is None or (group["name"], group["epoch"]) != (order["group"], order["epoch"]):
            return 409
        if kind == "leave":
            self.group = None
            self.model = None
            return 200
        if kind == "open":
            if group["state"] not in ("ready", "open"):
                return 409
            group["state"] = "open"
            return 200
        if kind == "close":
            if group["state"] == "open":
                group["state"] = "ready"
            return 200
        return 400

    def _join(self, order):
        if order["epoch"] < self.seen_epoch:
            return 412
        self.seen_epoch = order["epoch"]
        if self.group is not None and self.group["name"] == order["group"]:
            return 200
        self.orders += 1
        self.group = {
            "name": order["group"],
            "epoch": order["epoch"],
            "members": order["members"],
            "state": "joining",
        }
        asyncio.get_running_loop().call_later(
            self.JOIN_S, self._finish_join, self.group, order["model"]
        )
        return 202

    def _finish_join(self, group, model):
        if self.group is not group:
            return
        group["state"] = "ready"
        self.model = model
        self.staged = [model]
        self.register()


class Site:
    """A store, engines of a plain service and nodes, on free ports of loopback."""

    def __init__(self, directory):
        self.directory = pathlib.Path(directory)
        self.record = Record(directory)
        self.store = Store()
        self.engines = []
        self.nodes = {}
        self._temporary = tempfile.TemporaryDirectory()
        self._tasks = []
        self._servers = []
        self._store_port = free_ports(1)[0]
        self._deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())

    async def start(self, engine_count, answer, *, idle_timeout_ms=15000):
        """Start the store and the engines, and write the configuration."""
        self._servers.append(
            await asyncio.start_server(self.store.serve, "127.0.0.1", self._store_port)
        )
        self.store.put("config", "main", configuration(idle_timeout_ms))
        for index, port in enumerate(free_ports(engine_count)):
            engine = Engine(self.store, self.record, f"i-{index:08x}", "booking-app", port, answer)
            self.engines.append(engine)
            self._servers.append(
                await asyncio.start_server(engine.serve, "127.0.0.1", port, backlog=1024)
            )
            engine.register()
        self._tasks.append(asyncio.ensure_future(self._beat()))

    async def add_model_engines(self, domains, engines_per_domain, answer):
        """Start engines that form groups; call it before the nodes start."""
        for domain in range(domains):
            for port in free_ports(engines_per_domain):
                engine_id = f"i-{0xA00 + len(self.engines):08x}"
                engine = ModelEngine(
                    self.store, self.record, engine_id, port, f"d{domain}", self, answer
                )
                self.engines.append(engine)
                self._servers.append(
                    await asyncio.start_server(engine.serve, "127.0.0.1", port, backlog=1024)
                )
                engine.register()

    async def wait_open(self, groups):
        """Wait until so many groups are open."""
        end = time.monotonic() + START_LIMIT_S
        while self.open_groups() < groups:
            if time.monotonic() > end:
                raise TimeoutError(f"only {self.open_groups()} groups are open")
            await asyncio.sleep(0.1)

    def open_groups(self):
        """Return the number of heads of open groups."""
        count = 0
        for engine in self.engines:
            group = getattr(engine, "group", None)
            if group is not None and group["state"] == "open":
                count += 1
        return count

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for engine in self.engines:
                engine.register()

    def start_node(self, name, *, first_start=True):
        """Start a node with the command of the deploy file; return its process."""
        if name not in self.nodes:
            self.nodes[name] = {"ports": free_ports(4)}
        front, ready, peers, metrics = self.nodes[name]["ports"]
        path = pathlib.Path(self._temporary.name) / f"{name}.yaml"
        path.write_text(
            f"""# deploy/node.yaml, filled in.
node_id: "{name}"
data_centre: "changamwe"
store_address: "127.0.0.1:{self._store_port}"
is_first_start: {json.dumps(first_start)}
listen:
  callers: "127.0.0.1:{front}"
  readiness: "127.0.0.1:{ready}"
  peers: "127.0.0.1:{peers}"
  metrics: "127.0.0.1:{metrics}"
requests:
  concurrency: 400
  repeat_ratio: 0.2
  repeat_slack: 109
  repeat_window_s: 10
groups:
  load_window_s: 5
endpoints:
  heartbeat_interval_ms: {int(HEARTBEAT_S * 1000)}
stop:
  grace_s: 8
"""
        )
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "LYNXLANDING_CONFIG": str(path),
        }
        command = shlex.split(self._deploy["roles"]["front"]["run"])
        log = open(pathlib.Path(self._temporary.name) / f"{name}.log", "ab")
        process = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log
        )
        log.close()
        self.nodes[name]["process"] = process
        self.record.write(f"node {name} started")
        return process

    def touch_settings(self, name):
        """Write a node's settings again, as the platform does when they change."""
        path = pathlib.Path(self._temporary.name) / f"{name}.yaml"
        path.write_text(path.read_text())
        return path

    def port(self, name):
        """Return the port at which a node takes requests."""
        return self.nodes[name]["ports"][0]

    async def is_ready(self, name):
        """Ask a node as the platform does; return whether it answered 200 within a second."""
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection("127.0.0.1", self.nodes[name]["ports"][1]), 1
            )
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return head is not None and " 200 " in head[0]

    async def wait_ready(self):
        """Wait until all nodes are ready; raise ``TimeoutError`` if they are not in time."""
        end = time.monotonic() + START_LIMIT_S
        for name in self.nodes:
            while not await self.is_ready(name):
                if time.monotonic() > end:
                    raise TimeoutError(f"{name} is not ready")
                await asyncio.sleep(0.1)

    def log(self, name):
        """Return what a node has written."""
        return (pathlib.Path(self._temporary.name) / f"{name}.log").read_text(errors="replace")

    def close(self):
        """End all processes that were started, by their ids."""
        for node in self.nodes.values():
            process = node["process"]
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for task in self._tasks:
            task.cancel()
        for server in self._servers:
            server.close()
        self.record.close()
        self._temporary.cleanup()


def configuration(idle_timeout_ms):
    """Return the operator's configuration of a small deployment."""
    route = {"host": HOST_NAME, "timeout_ms": 2000, "target_latency_ms": 400, "priority": 2}
    engine = {
        "slots": 9,
        "kv_capacity": 984705,
        "stride": 5,
        "models": [
            {"name": MODEL, "size": 2, "share": 1.0, "pace": 1.0, "load_s": 12.0, "warm_s": 1.1}
        ],
        "step_ms": 7.8,
        "per_seq_ms": 0.18,
        "context_per_k": 0.018,
        "read_per_s": 45900.0,
        "pairs_per_m": 0.433,
        "chunk": 2048,
        "loads_per_s": 5.0,
        "loads_at_once": 7,
        "usual": {"prompt": 714, "answer": 175},
        "retain_count": 1,
        "form_ms": 300,
    }
    return {
        "version": 1,
        "routes": [
            {
                **route,
                "name": "bay-booking",
                "path_prefix": "/book/",
                "kind": "unsafe",
                "service": "booking-app",
                "max_attempts": 1,
            },
            {
                **route,
                "name": "bay-lookup",
                "path_prefix": "/look/",
                "kind": "safe",
                "service": "booking-app",
                "max_attempts": 2,
            },
            {
                **route,
                "name": "grit-answer",
                "path_prefix": "/grit/",
                "kind": "streaming",
                "service": "desk-model",
                "max_attempts": 2,
                "timeout_ms": 6000,
                "target_latency_ms": 300,
                "gap_aim_ms": 200,
                "stream_resume": True,
                "priority": 1,
            },
        ],
        "services": [
            {"name": "booking-app", "max_conns": 110, "health_path": "/healthz"},
            {
                "name": "desk-model",
                "max_conns": 278,
                "health_path": "/healthz",
                "engine": engine,
            },
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": idle_timeout_ms,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
    }


def request_bytes(method, path, request_id, body=b"", deadline_ms=4000, headers=()):
    """Return a client's request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST_NAME}",
        f"X-Request-Id: {request_id}",
        f"X-Deadline-Ms: {deadline_ms}",
        f"Authorization: Bearer {KEY}",
    ]
    lines += [f"{name}: {value}" for name, value in headers]
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def read_response(reader):
    """Return status, headers, body and whether the body is complete; None without a response."""
    head = await read_head(reader)
    if head is None:
        return None
    status = int(head[0].split(" ")[1])
    headers = head[1]
    try:
        if headers.get("transfer-encoding") == "chunked":
            body = b""
            while True:
                size = int(await reader.readline(), 16)
                body += await reader.readexactly(size)
                await reader.readexactly(2)
                if size == 0:
                    return status, headers, body, True
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
            return status, headers, body, True
        return status, headers, await reader.read(), True
    except (asyncio.IncompleteReadError, ValueError, ConnectionError):
        return status, headers, b"", False


def main(run, directory):
    """Run a case: exit with 1 if its rule was broken, 0 if it held, 2 if it could not run."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    site = Site(directory)
    try:
        is_broken = asyncio.run(asyncio.wait_for(run(site, has_trouble), 110))
    except Exception as e:
        print(f"could not run: {type(e).__name__}: {e}")
        sys.stdout.flush()
        os_code = 2
    else:
        os_code = 1 if is_broken else 0
    finally:
        site.close()
    sys.exit(os_code)
