"""Requests at nodes that have received wrong bytes from an endpoint.

Rule CONFIG: of the requests that are still unanswered at their route's ``timeout_ms``, more than half have no answer half
a second later, at machines in touch.
"""

import asyncio
import collections
import json
import os
import pathlib
import random
import shutil
import socket
import subprocess
import sys
import tempfile
import time

HERE = pathlib.Path(__file__).resolve().parent
ROOT = HERE.parents[1]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = 7
NODES = 9
ZONES = ("a", "b", "c")
ENDPOINTS = 5
SLOTS, QUEUE, WORK_S = 6, 3, 0.09
RATE = 40.0
HOST, KEY = "site.example", "small-key"
TIMEOUT_S, DEADLINE_S = 2.0, 4.0
LATE_S = 0.5
# Three of five endpoints send wrong bytes in place of one answer in twenty, for six seconds.
GARBLING, GARBLED_OF, GARBLE_AT, GARBLE_S = 3, 20, 6.0, 6.0
END_S = 22.0
# Fewer requests that are unanswered at their time limit say nothing.
MIN_UNANSWERED = 8


def free_ports(count):
    held = []
    for _ in range(count):
        item = socket.socket()
        item.bind(("127.0.0.1", 0))
        held.append(item)
    ports = [item.getsockname()[1] for item in held]
    for item in held:
        item.close()
    return ports


def configuration():
    route = {
        "host": HOST, "service": "app", "timeout_ms": TIMEOUT_S * 1000, "target_latency_ms": 400, "priority": 1,
        "public": False,
    }
    return {
        "version": 3,
        "routes": [
            {**route, "name": "book", "path_prefix": "/book/", "kind": "unsafe", "max_attempts": 1},
            {**route, "name": "look", "path_prefix": "/look/", "kind": "safe", "max_attempts": 2},
        ],
        "services": [{"name": "app", "max_conns": 110, "health_path": "/healthz"}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "small", "api_keys": [KEY], "priority": 1}],
    }


class Node:
    """One process of the system."""

    def __init__(self, number, ports, store_port, directory):
        self.zone = ZONES[number % 3]
        self.name = f"front-{self.zone}-{number // 3 + 1}"
        self.front, self.ready, self.peers, self.metrics = ports
        self.misses = 0
        self.longest_misses = 0
        path = directory / f"{self.name}.yaml"
        path.write_text(
            f"""node_id: {self.name}
data_centre: {self.zone}
store_address: "127.0.0.1:{store_port}"
is_first_start: true
listen:
  callers: "127.0.0.1:{self.front}"
  readiness: "127.0.0.1:{self.ready}"
  peers: "127.0.0.1:{self.peers}"
  metrics: "127.0.0.1:{self.metrics}"
requests:
  concurrency: 400
  repeat_ratio: 0.2
  repeat_slack: 109
  repeat_window_s: 10
groups:
  load_window_s: 5
endpoints:
  heartbeat_interval_ms: 1200
stop:
  grace_s: 8
limits:
  memory_mb: 300
  max_fds: 4100
"""
        )
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = {**kept, "PYTHONPATH": str(ROOT / "target/deps"), "LYNXLANDING_CONFIG": str(path)}
        with open(directory / f"{self.name}.log", "wb") as log:
            self.process = subprocess.Popen(
                ["python3", "src/lynxlanding_vm.py"], cwd=ROOT, env=environment, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL,
            )


async def call(port, lines, deadline_s):
    """Return the status of a whole answer, or 0."""
    writer = None
    try:
        async with asyncio.timeout(deadline_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write("\r\n".join([*lines, "", ""]).encode())
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            length = 0
            for line in head[1:]:
                name, _, value = line.partition(":")
                if name.lower() == "content-length":
                    length = int(value)
            await reader.readexactly(length)
            return int(head[0].split(" ")[1])
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError, IndexError):
        return 0
    finally:
        if writer is not None:
            writer.close()


class Day:
    """Clients and the balancer's readiness checks."""

    def __init__(self, nodes):
        self.nodes = nodes
        # Time sent, id, route, node, status and time of the answer or of the client's leaving.
        self.outcomes = []
        self._random = random.Random(SEED)
        self._count = 0
        self._tasks = set()

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def is_ready(self, node):
        return await call(node.ready, ["GET /v1/ready HTTP/1.1", "Host: ready", "Connection: close"], 0.9) == 200

    async def check_ready(self, node):
        while True:
            node.misses = 0 if await self.is_ready(node) else node.misses + 1
            node.longest_misses = max(node.longest_misses, node.misses)
            await asyncio.sleep(1.0)

    async def client(self):
        """One request of a client, on a new connection."""
        rotated = [node for node in self.nodes if node.misses < 2]
        node = self._random.choice(rotated or self.nodes)
        route, method = self._random.choice((("book", "POST"), ("look", "GET")))
        self._count += 1
        request_id = f"r{self._count:06d}"
        lines = [
            f"{method} /{route}/x HTTP/1.1", f"Host: {HOST}", f"X-Request-Id: {request_id}",
            f"X-Deadline-Ms: {int(DEADLINE_S * 1000)}", f"Authorization: Bearer {KEY}", "Content-Length: 0",
        ]
        sent_at = time.monotonic()
        status = await call(node.front, lines, DEADLINE_S)
        self.outcomes.append((sent_at, request_id, route, node.name, status, time.monotonic()))

    async def run(self, garble_path):
        for node in self.nodes:
            self.spawn(self.check_ready(node))
        limit = time.monotonic() + 25
        while not all([await self.is_ready(node) for node in self.nodes]):
            if time.monotonic() > limit:
                return None
            await asyncio.sleep(0.2)
        await asyncio.sleep(4.0)
        for node in self.nodes:
            node.longest_misses = 0
        begun = time.monotonic()
        if TROUBLE:
            garble_path.write_text(json.dumps({"from": begun + GARBLE_AT, "to": begun + GARBLE_AT + GARBLE_S}))
        next_at = begun
        while next_at < begun + END_S:
            await asyncio.sleep(max(0.0, next_at - time.monotonic()))
            self.spawn(self.client())
            next_at += self._random.expovariate(RATE)
        await asyncio.sleep(DEADLINE_S + 0.5)
        return begun


def judge(outcomes, events, begun):
    """Return the requests that are unanswered at their time limit, and those of them that have no answer later.

    Requests that the node has not sent on and whose client may send them again are left out: such clients give up
    before the time limit if their request is not read.
    """
    sent_on = {request_id for _, event, request_id, _ in events if event == "run"}
    unanswered = []
    late = []
    for sent_at, request_id, route, node, status, ended_at in sorted(outcomes):
        if route == "look" and request_id not in sent_on:
            continue
        limit = sent_at + TIMEOUT_S
        if status and ended_at <= limit:
            continue
        unanswered.append(f"{sent_at - begun:.3f} {request_id} {route} {node} {status} {ended_at - begun:.3f}")
        if not status or ended_at > limit + LATE_S:
            late.append(request_id)
    return unanswered, late


def main():
    lines = []
    directory = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
    started = []
    code = 2
    try:
        ports = free_ports(1 + ENDPOINTS + 4 * NODES)
        garble_path = directory / "garble.json"
        plan = {
            "store_port": ports[0], "endpoint_ports": ports[1 : 1 + ENDPOINTS], "configuration": configuration(),
            "slots": SLOTS, "queue": QUEUE, "work_s": WORK_S, "log": str(directory / "site.txt"),
            "garbling": GARBLING, "garbled_of": GARBLED_OF, "garble_path": str(garble_path),
        }
        (directory / "site.json").write_text(json.dumps(plan))
        with open(directory / "site.log", "wb") as log:
            started.append(
                subprocess.Popen([sys.executable, HERE / "site.py", directory / "site.json"], stdout=log, stderr=log)
            )
        time.sleep(1.0)
        nodes = []
        for number in range(NODES):
            first = 1 + ENDPOINTS + 4 * number
            nodes.append(Node(number, ports[first : first + 4], ports[0], directory))
            started.append(nodes[-1].process)
        day = Day(nodes)
        begun = asyncio.run(day.run(garble_path))
        if begun is None:
            lines.append("the nodes did not become ready")
            return 2
        events = [line.split() for line in (directory / "site.txt").read_text().splitlines()]
        unanswered, late = judge(day.outcomes, events, begun)
        lines.append(f"trouble: {TROUBLE}; {NODES} nodes, {ENDPOINTS} endpoints, route limit {TIMEOUT_S} s")
        statuses = collections.Counter(item[4] for item in day.outcomes)
        lines.append(f"requests sent: {len(day.outcomes)}; answers by status (0: none within {DEADLINE_S} s): {dict(statuses)}")
        lines.append(f"at the endpoints: {dict(collections.Counter(event for _, event, _, _ in events))}")
        hung = [f"{node.name} {node.longest_misses}" for node in nodes if node.longest_misses > 2]
        lines.append(f"most readiness checks in a row without an answer, where more than two: {', '.join(hung) or 'none'}")
        lines.append(f"unanswered at the route's limit: {len(unanswered)}; without an answer {LATE_S} s later: {len(late)}")
        if statuses[200] < 100:
            lines.append("too few requests were answered to judge")
        else:
            code = 1 if len(unanswered) >= MIN_UNANSWERED and 2 * len(late) > len(unanswered) else 0
        lines.append({0: "CONFIG held", 1: "CONFIG broken", 2: "not judged"}[code])
        lines.append("unanswered at the limit: seconds sent, request, route, node, status (0: none), seconds ended")
        lines.extend(unanswered)
        lines.append("every request: seconds, event, request, route or endpoint, node and status")
        rows = [(at, f"sent {name} {route} {node}") for at, name, route, node, _, _ in day.outcomes]
        rows.extend((end, f"ended {name} {route} {node} {status}") for _, name, route, node, status, end in day.outcomes)
        rows.extend((float(at), f"{event} {name} {endpoint}") for at, event, name, endpoint in events)
        lines.extend(f"{at - begun:.3f} {text}" for at, text in sorted(rows))
        return code
    finally:
        for process in started:
            if process.poll() is None:
                process.kill()
            process.wait()
        (HERE / "record.txt").write_text("\n".join(lines) + "\n")
        shutil.rmtree(directory, ignore_errors=True)


if __name__ == "__main__":
    sys.exit(main())
