"""Engines that form replica groups, and a plain service."""

import asyncio
import dataclasses
import json
import time

from lynxlanding_standins import asgi

STALL_S = 2.0
JOIN_S = 0.05
EVENTS = 12
EVENT_S = 0.03
SEAL = (b"x-response-seal", b"seal")
HEALTH_PATH = "/healthz"
ORDER_PATH = "/v1/order"
DELAY_HEADER = b"x-delay-s"
_CONTROL_PATHS = (ORDER_PATH, "/v1/report")


@dataclasses.dataclass(slots=True)
class SiteEndpoint:
    """State of one endpoint.

    Attributes
    ----------
    is_dark : bool
        Whether the endpoint answers nothing and sends no heartbeats.
    is_silent : bool
        Whether the endpoint sends no heartbeats but answers.
    is_down : bool
        Whether the endpoint has crashed and not started again.
    limit_per_s : float or None
        Requests a second that the endpoint says it takes from all nodes together.
    states_leaving : bool
        Whether the endpoint says in its responses that it is leaving; its registration may not.
    retry_after : str or None
        ``Retry-After`` of the responses with which the endpoint rejects all requests, if it does.
    heartbeats : int
        Number of heartbeats of the incarnation.
    accepted_orders : int
        Number of orders that the incarnation has accepted.
    group : dict or None
        ``name``, ``epoch``, ``members`` and ``state``.
    """

    endpoint_id: str
    service: str
    address: str
    zone: str
    domain: str | None
    born: int
    is_dark: bool = False
    is_leaving: bool = False
    is_silent: bool = False
    is_down: bool = False
    limit_per_s: float | None = None
    states_leaving: bool = False
    retry_after: str | None = None
    heartbeats: int = 0
    group: dict | None = None
    model: str | None = None
    staged: list = dataclasses.field(default_factory=list)
    running: int = 0
    seen_epoch: int = 0
    accepted_orders: int = 0

    @property
    def port(self):
        """Port of the endpoint."""
        return int(self.address.rpartition(":")[2])

    @property
    def sends_heartbeats(self):
        """Whether the endpoint keeps its registration."""
        return not (self.is_dark or self.is_silent or self.is_down)

    def crash(self):
        """Lose everything but the models that the host has staged."""
        self.is_down = True
        self.group = None
        self.model = None

    def start(self, born):
        """Begin another incarnation."""
        self.is_down = False
        self.is_leaving = False
        self.states_leaving = False
        self.retry_after = None
        self.born = born
        self.heartbeats = 0
        self.seen_epoch = 0
        self.accepted_orders = 0

    def entry(self):
        """Return what the endpoint registers in the store."""
        spec = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 9,
            "state": "draining" if self.is_leaving else "ready",
            "cold_remaining_ms": 0,
            "seq_no": self.heartbeats,
            "born": self.born,
        }
        if self.domain is not None:
            spec.update(self.state())
        return spec

    def statement_headers(self):
        """Return the headers of responses in which the endpoint states something about itself."""
        headers = []
        if self.limit_per_s is not None:
            headers.append((b"server-limit", str(self.limit_per_s).encode()))
        if self.states_leaving:
            headers.append((b"server-leaving", b"1"))
        return headers

    def state(self):
        """Return the engine's state as registrations and reports have it."""
        group = None
        if self.group is not None:
            group = {
                "name": self.group["name"],
                "epoch": self.group["epoch"],
                "rank": self.group["members"].index(self.endpoint_id),
                "state": self.group["state"],
            }
        models = [{"name": self.model, "version": 1, "adapters": []}] if self.model else []
        return {
            "domain": self.domain,
            "stage": "both",
            "models": models,
            "staged": self.staged,
            "group": group,
        }


class SiteEngines:
    """All endpoints of the site.

    Parameters
    ----------
    endpoints : dict of int to SiteEndpoint
        Endpoints by port.
    publish : callable
        Called with an endpoint whose registration has changed.
    history : list
        Receives ``(event, request id, endpoint id, monotonic time)`` for each run and rejection.
    crash : callable
        Called with an endpoint that ends, and the seconds until it starts again.
    """

    def __init__(self, endpoints, publish, history, crash):
        self._endpoints = endpoints
        self._publish = publish
        self._history = history
        self._crash = crash
        # Seconds for which an endpoint is down that writes an answer on a part of a prompt, by id
        # of the part.
        self.crash_parts = {}
        # Streams that an engine takes at once, if there is a limit, and the seconds for which it
        # reads a prompt before it writes.
        self.capacity = None
        self.reading_s = 0.0
        # Hosts whose callers get nothing more on the connections that they have.
        self.hung_hosts = set()
        self._by_id = {item.endpoint_id: item for item in endpoints.values()}

    async def serve(self, port, scope, receive, send):
        """Serve one request at an endpoint."""
        endpoint = self._endpoints[port]
        body = await asgi.read_body(receive)
        host = scope["server"][0]
        while endpoint.is_dark or host in self.hung_hosts:
            await asyncio.sleep(0.05)
        expected = asgi.header(scope, b"x-expect-instance")
        if expected is not None and expected != endpoint.endpoint_id:
            await asgi.send_json(send, 421, {}, [_echoed_id(scope)])
            return
        if scope["path"] in _CONTROL_PATHS:
            await self._control(endpoint, scope, body, send)
        elif endpoint.retry_after is not None:
            await self._reject(endpoint, scope, send)
        elif scope["path"] == HEALTH_PATH:
            status = 503 if endpoint.is_leaving or endpoint.states_leaving else 200
            instance = [(b"x-instance-id", endpoint.endpoint_id.encode())]
            await asgi.send_json(send, status, {}, instance)
        elif endpoint.domain is None:
            await self._answer(endpoint, scope, body, send)
        else:
            await self._stream(endpoint, scope, send)

    async def _control(self, endpoint, scope, body, send):
        """Serve an order or a report, which the endpoint does whatever it states."""
        if scope["path"] == ORDER_PATH:
            status = self._accept_order(endpoint, json.loads(body))
            await asgi.send_json(send, status, {})
            return
        report = {
            **endpoint.state(),
            "born": endpoint.born,
            "running": endpoint.running,
            "seq_no": endpoint.accepted_orders,
        }
        await asgi.send_json(send, 200, report)

    async def _reject(self, endpoint, scope, send):
        request_id = asgi.header(scope, b"x-request-id") or ""
        self._history.append(("reject", request_id, endpoint.endpoint_id, time.monotonic()))
        headers = [
            (b"x-not-executed", b"1"),
            (b"x-request-id", request_id.encode()),
            (b"retry-after", endpoint.retry_after.encode()),
        ]
        await asgi.send_json(send, 503, {}, headers)

    def _accept_order(self, endpoint, order):
        if order.get("expected", endpoint.accepted_orders) != endpoint.accepted_orders:
            return 409
        status = self._order(endpoint, order)
        if status == 202:
            endpoint.accepted_orders += 1
        return status

    def _order(self, endpoint, order):
        kind = order["operation"]
        if kind == "stage":
            endpoint.staged = [order["model"]]
            self._publish(endpoint)
            return 202
        if kind == "join":
            return self._join(endpoint, order)
        group = endpoint.group
        if group is None or (group["name"], group["epoch"]) != (order["group"], order["epoch"]):
            return 409
        if kind == "leave":
            endpoint.group = None
            endpoint.model = None
        elif kind == "open" and group["state"] == "ready":
            group["state"] = "open"
        elif kind == "close" and group["state"] == "open":
            group["state"] = "closing"
            self._finish_closing(endpoint)
        elif kind == "open" and group["state"] != "open":
            return 409
        else:
            return 200
        self._publish(endpoint)
        return 202

    def _finish_closing(self, endpoint):
        """Let a closing head return to ready once it has no streams."""
        group = endpoint.group
        if group is not None and group["state"] == "closing" and not endpoint.running:
            group["state"] = "ready"
            self._publish(endpoint)

    def _join(self, endpoint, order):
        if order["epoch"] < endpoint.seen_epoch:
            return 412
        endpoint.seen_epoch = order["epoch"]
        group = {
            "name": order["group"],
            "epoch": order["epoch"],
            "members": order["members"],
            "state": "joining",
        }
        if endpoint.group is not None and endpoint.group["name"] == group["name"]:
            return 200
        endpoint.group = group
        self._publish(endpoint)
        asyncio.get_running_loop().call_later(
            JOIN_S, self._finish_join, endpoint, group, order["model"]
        )
        return 202

    def _finish_join(self, endpoint, group, model):
        if endpoint.group is not group:
            return
        group["state"] = "ready"
        endpoint.model = model
        endpoint.staged = [model]
        self._publish(endpoint)

    def _is_whole(self, endpoint):
        for member in endpoint.group["members"]:
            other = self._by_id[member]
            if (
                other.is_dark
                or other.is_down
                or other.group is None
                or other.group["name"] != endpoint.group["name"]
            ):
                return False
        return True

    async def _answer(self, endpoint, scope, body, send):
        request_id = asgi.header(scope, b"x-request-id") or ""
        self._history.append(("run", request_id, endpoint.endpoint_id, time.monotonic()))
        await asyncio.sleep(EVENT_S + _requested_delay_s(scope))
        document = {
            "target": scope["raw_path"].decode() + "?" + scope["query_string"].decode(),
            "body": body.decode("latin-1"),
            "workspace": asgi.header(scope, b"x-tenant"),
            "key": asgi.header(scope, b"authorization"),
        }
        headers = [SEAL, (b"x-request-id", request_id.encode()), *endpoint.statement_headers()]
        await asgi.send_json(send, 200, document, headers)

    async def _stream(self, endpoint, scope, send):
        group = endpoint.group
        is_full = self.capacity is not None and endpoint.running >= self.capacity
        is_open = group is not None and group["state"] == "open"
        if is_full or not is_open or endpoint.endpoint_id != group["members"][0]:
            headers = [(b"x-not-executed", b"1"), _echoed_id(scope)]
            await asgi.send_json(send, 503, {}, headers)
            return
        request_id = asgi.header(scope, b"x-request-id") or ""
        first = int(asgi.header(scope, b"last-event-id") or 0) + 1
        headers = [
            (b"content-type", b"text/event-stream"),
            (b"x-request-id", request_id.encode()),
            SEAL,
            *endpoint.statement_headers(),
        ]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        endpoint.running += 1
        self._history.append(("run", request_id, endpoint.endpoint_id, time.monotonic()))
        down_s = self._find_crash(scope)
        try:
            await asyncio.sleep(self.reading_s + _requested_delay_s(scope))
            for number in range(first, EVENTS + 1):
                if down_s is not None:
                    await asyncio.sleep(EVENT_S)
                    self._crash(endpoint, down_s)
                if endpoint.group is not group:
                    return
                stalled_at = time.monotonic()
                while endpoint.is_dark or not self._is_whole(endpoint):
                    await asyncio.sleep(0.02)
                    if time.monotonic() - stalled_at > STALL_S:
                        group["state"] = "broken"
                        self._publish(endpoint)
                        return
                await asyncio.sleep(EVENT_S)
                while scope["server"][0] in self.hung_hosts:
                    await asyncio.sleep(0.05)
                event = b"id: %d\ndata: %s\n\n" % (number, request_id.encode())
                await send({"type": "http.response.body", "body": event, "more_body": True})
            await send({"type": "http.response.body", "body": b""})
        finally:
            endpoint.running -= 1
            self._finish_closing(endpoint)

    def _find_crash(self, scope):
        """Return for how long a part of the prompt takes the engine down, or None."""
        entries = (asgi.header(scope, b"x-prompt-prefix") or "").split(",")
        # The last part belongs to the request itself.
        for entry in entries[:-1]:
            down_s = self.crash_parts.get(entry.strip().partition(":")[0])
            if down_s is not None:
                return down_s
        return None


def _requested_delay_s(scope):
    """Return how much longer than usual the caller wants the answer to take, in seconds."""
    return float(asgi.header(scope, DELAY_HEADER) or 0)


def _echoed_id(scope):
    """Return the header with the id of the request, which all answers repeat."""
    return b"x-request-id", (asgi.header(scope, b"x-request-id") or "").encode()
