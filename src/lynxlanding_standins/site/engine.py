"""Engines that form replica groups, and a plain service."""

import asyncio
import collections
import dataclasses
import json
import time

from lynxlanding_standins import asgi

STALL_S = 2.0
JOIN_S = 0.05
EVENTS = 12
EVENT_S = 0.03
SEAL = (b"x-response-seal", b"seal")
# Time for which an order that is carried out late has no answer; callers give up earlier.
UNANSWERED_S = 60.0
HEALTH_PATH = "/healthz"
ORDER_PATH = "/v1/order"
DELAY_HEADER = b"x-delay-s"
_CONTROL_PATHS = (ORDER_PATH, "/v1/report")
# A cold engine crashes if it gets this multiple of its rate in a second, and is down for a time.
COLD_CRASH_FACTOR = 2.0
COLD_CRASH_DOWN_S = 2.0
COLD_WINDOW_S = 1.0
# When an endpoint ends under a body that crashes it.
BEFORE_RESPONSE = "before the response"
AFTER_FIRST_EVENT = "after the first event"


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
    cold_until : float
        Until when the engine is slow and fragile, in monotonic seconds.
    heartbeats : int
        Number of heartbeats of the incarnation.
    accepted_orders : int
        Number of orders that the incarnation has accepted.
    order_delay_s : float or None
        Seconds after which orders are carried out, without an answer; None if they are answered.
    reports : list of (float, dict)
        Monotonic times of changes, and what the reports say from then on.
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
    cold_until: float = 0.0
    heartbeats: int = 0
    group: dict | None = None
    model: str | None = None
    staged: list = dataclasses.field(default_factory=list)
    running: int = 0
    seen_epoch: int = 0
    accepted_orders: int = 0
    order_delay_s: float | None = None
    reports: list = dataclasses.field(default_factory=list)

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

    @property
    def cold_remaining_ms(self):
        """Milliseconds for which the engine will be cold."""
        return max(0, round((self.cold_until - time.monotonic()) * 1000))

    def start(self, born, cold_s=0.0):
        """Begin another incarnation, which is cold for a time."""
        self.cold_until = time.monotonic() + cold_s
        self.is_down = False
        self.is_leaving = False
        self.states_leaving = False
        self.retry_after = None
        self.born = born
        self.heartbeats = 0
        self.seen_epoch = 0
        self.accepted_orders = 0
        self.reports = []

    def is_in(self, group):
        """Return whether the engine is in a group, which its name and epoch identify."""
        known = self.group
        if known is None or group is None:
            return False
        return (known["name"], known["epoch"]) == (group["name"], group["epoch"])

    def note_report(self, now):
        """Keep what reports say from now on."""
        report = {**self.state(), "born": self.born, "seq_no": self.accepted_orders}
        self.reports.append((now, report))

    def report(self, at):
        """Return the report as of a time; reports of before are forgotten."""
        while len(self.reports) > 1 and self.reports[1][0] <= at:
            self.reports.pop(0)
        if not self.reports:
            self.note_report(at)
        return self.reports[0][1]

    def entry(self):
        """Return what the endpoint registers in the store."""
        spec = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 9,
            "state": "draining" if self.is_leaving else "ready",
            "cold_remaining_ms": self.cold_remaining_ms,
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
        Called with an endpoint that ends, the seconds until it starts again, and the id of the
        request that ends it.
    report_lag_s : float, optional
        Age of the values that reports have.
    cold_per_s : float, optional
        Requests a second that a cold engine bears; 0 if no engine is ever cold.

    Attributes
    ----------
    cold_arrivals : list
        ``(endpoint id, monotonic time)`` of all requests and health checks at cold engines.
    second_joins : list of dict
        Joins that engines have taken while the head of another group of theirs was open or
        closing: ``engine``, ``group`` and ``joined`` (name and epoch), ``head``, ``state`` of the
        head, and monotonic ``time``. A head that stands still counts as open until it is broken.
    """

    def __init__(self, endpoints, publish, history, crash, report_lag_s=0.0, cold_per_s=0.0):
        self._endpoints = endpoints
        self._cold_per_s = cold_per_s
        self._recent_arrivals = collections.defaultdict(collections.deque)
        self.cold_arrivals = []
        self._publish_entry = publish
        self._report_lag_s = report_lag_s
        self.second_joins = []
        self._history = history
        self._crash = crash
        # Seconds for which an endpoint is down that writes an answer on a part of a prompt, by id
        # of the part.
        self.crash_parts = {}
        # The same by body of a request, and when the endpoint ends.
        self.crash_bodies = {}
        self.crash_moment = AFTER_FIRST_EVENT
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
            return
        if self._is_too_much(endpoint, time.monotonic()):
            self._crash(endpoint, COLD_CRASH_DOWN_S, asgi.header(scope, b"x-request-id") or "")
            return
        if endpoint.retry_after is not None:
            await self._reject(endpoint, scope, send)
        elif scope["path"] == HEALTH_PATH:
            status = 503 if endpoint.is_leaving or endpoint.states_leaving else 200
            headers = [(b"x-instance-id", endpoint.endpoint_id.encode())]
            if self._cold_per_s and endpoint.domain is not None:
                headers.append((b"x-cold-ms", b"%d" % endpoint.cold_remaining_ms))
            await asgi.send_json(send, status, {}, headers)
        elif endpoint.domain is None:
            await self._answer(endpoint, scope, body, send)
        else:
            await self._stream(endpoint, scope, body, send)

    def _is_too_much(self, endpoint, now):
        """Count a request; return whether a cold engine crashes under it."""
        if not self._cold_per_s or now >= endpoint.cold_until:
            return False
        self.cold_arrivals.append((endpoint.endpoint_id, now))
        recent = self._recent_arrivals[endpoint.endpoint_id]
        recent.append(now)
        while recent[0] <= now - COLD_WINDOW_S:
            recent.popleft()
        return len(recent) > COLD_CRASH_FACTOR * self._cold_per_s

    async def _control(self, endpoint, scope, body, send):
        """Serve an order or a report, which the endpoint does whatever it states."""
        if scope["path"] == ORDER_PATH:
            order = json.loads(body)
            if endpoint.order_delay_s is not None:
                await self._accept_late(endpoint, order)
                return
            status = self._accept_order(endpoint, order)
            await asgi.send_json(send, status, {})
            return
        report = endpoint.report(time.monotonic() - self._report_lag_s)
        await asgi.send_json(send, 200, {**report, "running": endpoint.running})

    async def _accept_late(self, endpoint, order):
        """Carry an order out late, and never answer it.

        The order must fit the engine's state at that time. A restart meanwhile discards it.
        """
        born = endpoint.born
        await asyncio.sleep(endpoint.order_delay_s)
        if endpoint.born == born and not endpoint.is_down:
            self._accept_order(endpoint, order)
        await asyncio.sleep(UNANSWERED_S)

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
            endpoint.note_report(time.monotonic())
        return status

    def _publish(self, endpoint):
        endpoint.note_report(time.monotonic())
        self._publish_entry(endpoint)

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
        group = {
            "name": order["group"],
            "epoch": order["epoch"],
            "members": order["members"],
            "state": "joining",
        }
        if endpoint.is_in(group):
            return 200 if endpoint.group["members"] == group["members"] else 412
        endpoint.seen_epoch = order["epoch"]
        self._check_second_join(endpoint, group)
        endpoint.group = group
        self._publish(endpoint)
        asyncio.get_running_loop().call_later(
            JOIN_S, self._finish_join, endpoint, group, order["model"]
        )
        return 202

    def _check_second_join(self, endpoint, joined):
        """Record a join of an engine that is in another group whose head is not broken."""
        if endpoint.group is None:
            return
        head = self._by_id[endpoint.group["members"][0]]
        if not head.is_in(endpoint.group) or head.group["state"] not in ("open", "closing"):
            return
        self.second_joins.append(
            {
                "engine": endpoint.endpoint_id,
                "group": (endpoint.group["name"], endpoint.group["epoch"]),
                "joined": (joined["name"], joined["epoch"]),
                "head": head.endpoint_id,
                "state": head.group["state"],
                "time": time.monotonic(),
            }
        )

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
            if other.is_dark or other.is_down or not other.is_in(endpoint.group):
                return False
        return True

    async def _answer(self, endpoint, scope, body, send):
        request_id = asgi.header(scope, b"x-request-id") or ""
        self._history.append(("run", request_id, endpoint.endpoint_id, time.monotonic()))
        await asyncio.sleep(EVENT_S + _requested_delay_s(scope))
        body_down_s = self._find_crash_by_body(body)
        if body_down_s is not None:
            self._crash(endpoint, body_down_s, request_id)
            return
        document = {
            "target": scope["raw_path"].decode() + "?" + scope["query_string"].decode(),
            "body": body.decode("latin-1"),
            "workspace": asgi.header(scope, b"x-tenant"),
            "key": asgi.header(scope, b"authorization"),
        }
        headers = [SEAL, (b"x-request-id", request_id.encode()), *endpoint.statement_headers()]
        await asgi.send_json(send, 200, document, headers)

    async def _stream(self, endpoint, scope, body, send):
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
        self._history.append(("run", request_id, endpoint.endpoint_id, time.monotonic()))
        body_down_s = self._find_crash_by_body(body)
        if body_down_s is not None and self.crash_moment == BEFORE_RESPONSE:
            await asyncio.sleep(EVENT_S)
            self._crash(endpoint, body_down_s, request_id)
            return
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        endpoint.running += 1
        down_s = self._find_crash(scope)
        try:
            await asyncio.sleep(self.reading_s + _requested_delay_s(scope))
            for number in range(first, EVENTS + 1):
                if down_s is not None:
                    await asyncio.sleep(EVENT_S)
                    self._crash(endpoint, down_s, request_id)
                if body_down_s is not None and number > first:
                    self._crash(endpoint, body_down_s, request_id)
                if endpoint.group is not group:
                    return
                stalled_at = time.monotonic()
                while endpoint.is_dark or not self._is_whole(endpoint):
                    await asyncio.sleep(0.02)
                    if endpoint.group is not group:
                        return
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

    def _find_crash_by_body(self, body):
        """Return for how long a body takes the endpoint down, or None."""
        return self.crash_bodies.get(body.decode("latin-1"))

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
