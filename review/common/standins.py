"""Stand-ins of the platform's store and of plain endpoints, in one event loop of a thread."""

import asyncio
import contextlib
import json
import random
import threading
import time
import urllib.parse

PAGE = 500
HISTORY_S = 20.0
# Spread of the work of requests; without it, callers with the same work move in step.
WORK_SPREAD = 0.5
BEAT_MS = 1200


class Http:
    """Minimal HTTP/1.1 server: one request at a time on a connection."""

    def __init__(self, handler):
        self._handler = handler

    async def serve(self, port):
        return await asyncio.start_server(self._connected, "127.0.0.1", port, backlog=1024)

    async def _connected(self, reader, writer):
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            with contextlib.suppress(OSError):
                writer.close()

    async def _serve_one(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head[:-4].decode("latin-1").split("\r\n")
        method, target, _ = first.split(" ", 2)
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        answer = await self._handler(method, target, headers, body)
        if isinstance(answer, bytes):
            # Bytes of a faulty endpoint.
            writer.write(answer)
            await writer.drain()
            return True
        status, extra, content = answer
        text = [f"HTTP/1.1 {status} X", f"Content-Length: {len(content)}"]
        text += [f"{name}: {value}" for name, value in extra]
        closes = ("Connection", "close") in extra
        writer.write("\r\n".join(text).encode() + b"\r\n\r\n")
        writer.write(content)
        await writer.drain()
        return not closes and headers.get("connection", "").lower() != "close"


class Store:
    """The platform's store, in its objects form."""

    def __init__(self, loop):
        self._loop = loop
        self._objects = {}
        self._events = []
        self.revision = 100
        self._changed = asyncio.Event()
        self.forgotten = 0

    def put_text(self, kind, name, spec):
        """Write an object whose spec is JSON text; one that changes nothing has no effect."""
        known = self._objects.get((kind, name))
        if known is not None and known["spec"] == spec:
            return known
        self.revision += 1
        created = self.revision if known is None else known["created"]
        item = {"name": name, "rev": self.revision, "created": created, "spec": spec}
        self._objects[(kind, name)] = item
        self._note(kind, item, "false")
        return item

    def _note(self, kind, item, tombstone):
        now = time.monotonic()
        event = f'{{"tombstone":{tombstone},"object":{self._text(item)}}}'
        self._events.append((self.revision, kind, event, now))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _forget_old(self):
        now = time.monotonic()
        while self._events and now - self._events[0][3] > HISTORY_S:
            self.forgotten = self._events.pop(0)[0]

    @staticmethod
    def _text(item):
        name = json.dumps(item["name"])
        return (
            f'{{"metadata":{{"name":{name},"revision":{item["rev"]},"create_rev":{item["created"]},'
            f'"finalizers":[],"deleting":false}},"spec":{item["spec"]},"status":null}}'
        )

    async def handle(self, method, target, headers, body):
        path, _, query_text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text))
        kind, _, name = path[len("/v1/objects/") :].partition("/")
        if method == "GET" and "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query.get("wait_ms", 0)))
        if method == "GET" and not name:
            return self._list(kind, query.get("since_rev"))
        known = self._objects.get((kind, name))
        if method == "GET":
            return (404, (), b"{}") if known is None else self._answer(200, known)
        document = json.loads(body) if body else {}
        if method == "POST":
            name = name or document["metadata"]["name"]
            known = self._objects.get((kind, name))
            if known is not None:
                return self._answer(409, known)
            spec = json.dumps(document.get("spec"), separators=(",", ":"))
            return self._answer(200, self.put_text(kind, name, spec))
        if known is None:
            return 404, (), b"{}"
        wanted = document.get("metadata", {}).get("revision") or query.get("revision")
        if wanted is not None and int(wanted) != known["rev"]:
            return self._answer(409, known)
        if method == "DELETE":
            del self._objects[(kind, name)]
            self.revision += 1
            self._note(kind, known, "true")
            return self._answer(200, known)
        spec = json.dumps(document.get("spec"), separators=(",", ":"))
        return self._answer(200, self.put_text(kind, name, spec))

    def _answer(self, status, item):
        return status, (("Content-Type", "application/json"),), self._text(item).encode()

    def _list(self, kind, since):
        names = sorted(key[1] for key in self._objects if key[0] == kind)
        names = [name for name in names if since is None or name > since]
        items, size = [], 0
        for name in names[:PAGE]:
            items.append(self._text(self._objects[(kind, name)]))
            size += len(items[-1])
            if size > 1 << 20:
                break
        more = "true" if len(items) < len(names) else "false"
        text = f'{{"items":[{",".join(items)}],"has_more":{more},"current_rev":{self.revision}}}'
        return 200, (("Content-Type", "application/json"),), text.encode()

    async def _watch(self, kind, after, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            self._forget_old()
            if after < self.forgotten or after > self.revision:
                return 410, (), b"{}"
            found = [event[2] for event in self._events if event[0] > after and event[1] == kind]
            left = end - time.monotonic()
            if found or left <= 0:
                text = f'{{"events":[{",".join(found)}],"current_rev":{self.revision}}}'
                return 200, (("Content-Type", "application/json"),), text.encode()
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue


class Endpoint:
    """A sound endpoint of a plain service."""

    def __init__(self, endpoint_id, service, port, zone, work_s, slots=60):
        self.endpoint_id = endpoint_id
        self.service = service
        self.port = port
        self.zone = zone
        self.work_s = work_s
        self.slots = slots
        self._random = random.Random(endpoint_id)
        self.is_draining = False
        self.running = 0
        # Bytes to send in place of the next answer, once.
        self.spoilt_answer = None
        # Request id, time and bytes of the answers that were spoilt.
        self.spoilt = []
        # Request id, time, method, target and tenant of each run.
        self.runs = []

    def spec(self):
        return json.dumps(
            {
                "service": self.service,
                "address": f"127.0.0.1:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": "draining" if self.is_draining else "ready",
                "cold_remaining_ms": 0,
                "seq_no": 1,
                "born": 1796000000000,
            },
            separators=(",", ":"),
        )

    async def handle(self, method, target, headers, body):
        load = f"{self.running},0,{self.slots}"
        own = [("X-Instance-Id", self.endpoint_id), ("X-Instance-Load", load)]
        request_id = headers.get("x-request-id", "")
        if headers.get("x-expect-instance", self.endpoint_id) != self.endpoint_id:
            return 421, own, b""
        if target == "/healthz":
            return 503 if self.is_draining else 200, own, b""
        if self.is_draining:
            own.append(("Connection", "close"))
        if not request_id:
            return 400, [*own, ("X-Not-Executed", "1")], b""
        self.runs.append((request_id, time.monotonic(), method, target, headers.get("x-tenant")))
        self.running += 1
        spread = self._random.uniform(1 - WORK_SPREAD, 1 + WORK_SPREAD)
        await asyncio.sleep(self.work_s * spread)
        self.running -= 1
        if self.spoilt_answer is not None:
            answer, self.spoilt_answer = self.spoilt_answer, None
            self.spoilt.append((request_id, time.monotonic(), len(answer)))
            return answer
        content = f"{self.service} ran {request_id}\n".encode()
        own += [("X-Request-Id", request_id), ("X-Response-Seal", f"seal.{request_id}")]
        return 200, own, content


class Site:
    """Store and endpoints, in a thread of their own."""

    def __init__(self, store_port, endpoints):
        self.loop = asyncio.new_event_loop()
        self.store = None
        self.endpoints = endpoints
        self._store_port = store_port
        self._ready = threading.Event()
        threading.Thread(target=self._run, daemon=True).start()
        self._ready.wait(10)

    def put(self, kind, name, spec):
        """Write an object as the operator or an endpoint does; return when it is acknowledged."""
        asyncio.run_coroutine_threadsafe(self._put(kind, name, spec), self.loop).result(10)

    async def _put(self, kind, name, spec):
        self.store.put_text(kind, name, spec)

    def _run(self):
        asyncio.set_event_loop(self.loop)
        self.store = Store(self.loop)
        self.loop.run_until_complete(self._start())
        self._ready.set()
        self.loop.run_forever()

    async def _start(self):
        await Http(self.store.handle).serve(self._store_port)
        for endpoint in self.endpoints:
            await Http(endpoint.handle).serve(endpoint.port)
            self.store.put_text("servers", endpoint.endpoint_id, endpoint.spec())
