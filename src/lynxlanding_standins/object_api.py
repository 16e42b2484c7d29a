"""Stand-in for the platform's object API, with switchable faults."""

import asyncio
import collections
import json
import time

from starlette import applications, responses, routing

MAX_VALUE_BYTES = 1_000_000
MAX_LOG_ENTRIES = 20_000


class ObjectApi:
    """Versioned objects, conditional updates and watches in memory.

    Parameters
    ----------
    reads_per_s, writes_per_s : float
        Call rates above which calls are refused with 429; a waiting watch counts as one read.
    """

    def __init__(self, reads_per_s=2000.0, writes_per_s=300.0):
        self._limits = {"read": reads_per_s, "write": writes_per_s}
        self._objects = {}
        self._log = collections.deque(maxlen=MAX_LOG_ENTRIES)
        self._version = 0
        self._changed = asyncio.Event()
        self._window = {"read": [0, 0], "write": [0, 0]}
        self._stats = {"read": 0, "write": 0, "watch": 0, "rate_limited": 0}
        self._faults = {
            "unavailable": False,
            "delay_ms": 0,
            "lose_answers": 0,
            "expire_before": 0,
        }

    def app(self):
        """Return the ASGI application."""
        return applications.Starlette(
            routes=[
                routing.Route("/objects/{kind}", self._list, methods=["GET"]),
                routing.Route("/objects/{kind}/{name}", self._get, methods=["GET"]),
                routing.Route("/objects/{kind}/{name}", self._create, methods=["POST"]),
                routing.Route("/objects/{kind}/{name}", self._update, methods=["PUT"]),
                routing.Route("/objects/{kind}/{name}", self._delete, methods=["DELETE"]),
                routing.Route("/watch/{kind}", self._watch, methods=["GET"]),
                routing.Route("/faults", self._set_faults, methods=["POST"]),
                routing.Route("/stats", self._get_stats, methods=["GET"]),
            ]
        )

    async def _set_faults(self, request):
        faults = await request.json()
        if faults.pop("cut_watches", False):
            self._changed.set()
            self._changed = asyncio.Event()
        self._faults.update(faults)
        return responses.JSONResponse(self._faults)

    async def _get_stats(self, request):
        return responses.JSONResponse({**self._stats, "version": self._version})

    async def _admit(self, call):
        """Count the call; return a refusal, or None if it may proceed."""
        self._stats[call] += 1
        if self._faults["delay_ms"]:
            await asyncio.sleep(self._faults["delay_ms"] / 1000)
        if self._faults["unavailable"]:
            return _refuse(503, "unavailable")
        second = int(time.monotonic())
        window = self._window[call]
        if window[0] != second:
            window[:] = [second, 0]
        window[1] += 1
        if window[1] > self._limits[call]:
            self._stats["rate_limited"] += 1
            return _refuse(429, "rate_limited")
        return None

    async def _get(self, request):
        refusal = await self._admit("read")
        if refusal:
            return refusal
        item = self._objects.get((request.path_params["kind"], request.path_params["name"]))
        if item is None:
            return _refuse(404, "not_found")
        return responses.JSONResponse(item)

    async def _list(self, request):
        refusal = await self._admit("read")
        if refusal:
            return refusal
        items = []
        for (kind, _), item in self._objects.items():
            if kind == request.path_params["kind"]:
                items.append(item)
        return responses.JSONResponse({"items": items, "version": self._version})

    async def _create(self, request):
        refusal = await self._admit("write")
        if refusal:
            return refusal
        value, refusal = await _read_value(request)
        if refusal:
            return refusal
        identity = (request.path_params["kind"], request.path_params["name"])
        if identity in self._objects:
            return _refuse(409, "exists")
        return self._answer(self._put(identity, value), 201)

    async def _update(self, request):
        refusal = await self._admit("write")
        if refusal:
            return refusal
        value, refusal = await _read_value(request)
        if refusal:
            return refusal
        identity = (request.path_params["kind"], request.path_params["name"])
        refusal = self._check_version(identity, request)
        if refusal:
            return refusal
        return self._answer(self._put(identity, value), 200)

    async def _delete(self, request):
        refusal = await self._admit("write")
        if refusal:
            return refusal
        identity = (request.path_params["kind"], request.path_params["name"])
        refusal = self._check_version(identity, request)
        if refusal:
            return refusal
        del self._objects[identity]
        self._record({"type": "delete", "kind": identity[0], "name": identity[1]})
        return self._answer({}, 200)

    async def _watch(self, request):
        refusal = await self._admit("read")
        if refusal:
            return refusal
        self._stats["watch"] += 1
        after = int(request.query_params["after"])
        deadline = time.monotonic() + int(request.query_params["timeout_ms"]) / 1000
        oldest = self._log[0]["version"] if len(self._log) == MAX_LOG_ENTRIES else 0
        if after < max(self._faults["expire_before"], oldest - 1):
            return _refuse(410, "expired")
        while True:
            changed = self._changed
            events = []
            for event in self._log:
                if event["version"] > after and event["kind"] == request.path_params["kind"]:
                    events.append(event)
            remaining = deadline - time.monotonic()
            if events or remaining <= 0:
                return responses.JSONResponse({"events": events, "version": self._version})
            try:
                await asyncio.wait_for(changed.wait(), remaining)
            except TimeoutError:
                continue
            if self._faults["unavailable"]:
                return _refuse(503, "unavailable")

    def _check_version(self, identity, request):
        item = self._objects.get(identity)
        if item is None:
            return _refuse(404, "not_found")
        if request.headers.get("if-match") != str(item["version"]):
            return _refuse(412, "version_conflict")
        return None

    def _put(self, identity, value):
        item = {"kind": identity[0], "name": identity[1], "value": value}
        item["version"] = self._record({"type": "put", **item})
        self._objects[identity] = item
        return item

    def _record(self, event):
        self._version += 1
        event["version"] = self._version
        self._log.append(event)
        self._changed.set()
        self._changed = asyncio.Event()
        return self._version

    def _answer(self, value, status):
        if self._faults["lose_answers"] > 0:
            self._faults["lose_answers"] -= 1
            return LostResponse()
        return responses.JSONResponse(value, status_code=status)


class LostResponse:
    """Breaks the connection in place of an answer."""

    async def __call__(self, scope, receive, send):
        """Announce a body that never comes, which makes the server cut the connection."""
        await send(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": [(b"content-length", b"1000")],
            }
        )


def _refuse(status, type_name):
    return responses.JSONResponse({"error": {"type": type_name}}, status_code=status)


async def _read_value(request):
    body = await request.body()
    if len(body) > MAX_VALUE_BYTES:
        return None, _refuse(413, "too_large")
    try:
        return json.loads(body), None
    except ValueError:
        return None, _refuse(400, "malformed")
