"""The whole site in one process, on consecutive ports of loopback."""

import asyncio
import json
import random
import time

from lynxlanding_standins import asgi
from lynxlanding_standins.site import address_rewriter, engine, store

# Heartbeats without one from an endpoint after which its entry is removed.
SILENT_BEATS = 3
ZONES = ("a", "b")
KEY = "secret-key"
TENANT = "small"
HOST_NAME = "site.example"
# What meets new connections to an endpoint that has crashed. Nothing listens, so that they are
# refused; or something else holds the port, and ends them as soon as it has accepted them.
REFUSES = "refuses"
RESETS = "resets"
CLOSES = "closes"


class Site:
    """ASGI application of the store and all endpoints; the port tells them apart.

    The first port is the store's, which also takes ``POST /control``. The engines follow, then
    the endpoints of the plain service.

    Parameters
    ----------
    ports : list of int
        Ports.
    engines : int
        Number of engines.
    heartbeat_s : float
        Seconds between heartbeats of an endpoint.
    domains : int, optional
        Number of fabric domains, among which the engines are divided evenly.
    report_lag_s : float, optional
        Age of the values that engines report, also stated in the configuration.
    cold_start_s, cold_per_s : float, optional
        Time for which engines that have started are cold, and requests a second that they bear
        then, as in the configuration. The engines are not cold when the site starts.
    has_zonal_domains : bool, optional
        Whether each fabric domain is in one zone. Otherwise engines are in the zones in turn.
    """

    def __init__(
        self,
        ports,
        engines,
        heartbeat_s,
        domains=2,
        report_lag_s=0.0,
        cold_start_s=0.0,
        cold_per_s=0.0,
        has_zonal_domains=False,
    ):
        self._store_port = ports[0]
        self._heartbeat_s = heartbeat_s
        self._store = store.SiteStore()
        self._history = []
        self._silent = {}
        # Heartbeats that were sent and that the store has not carried out yet.
        self._held = {}
        endpoints = {}
        for index, port in enumerate(ports[1:]):
            is_engine = index < engines
            domain_number = index * domains // engines if is_engine else None
            zone_number = domain_number if is_engine and has_zonal_domains else index
            endpoints[port] = engine.SiteEndpoint(
                endpoint_id=f"i-{index:03d}",
                service="model" if is_engine else "app",
                address=f"127.0.0.1:{port}",
                zone=ZONES[zone_number % len(ZONES)],
                domain=f"d{domain_number}" if is_engine else None,
                born=int(time.time() * 1000),
            )
        self._endpoints = endpoints
        # Zones that the operator has asked to evacuate.
        self._evacuated = set()
        self._server = None
        self._engines = engine.SiteEngines(
            endpoints,
            self._publish,
            self._history,
            self._crash_endpoint,
            report_lag_s,
            cold_per_s,
        )
        self._cold_start_s = cold_start_s
        self._cold_per_s = cold_per_s
        self._beats = None
        self._restarts = set()
        self._crash_kind = REFUSES
        self._configuration_version = 1
        self._extra_keys = 0
        # Milliseconds by field, as in ``configuration``.
        self._time_limits = {"report_lag_ms": report_lag_s * 1000}
        self._write_configuration()
        # An entry of another writer names no endpoint.
        self._store.put("servers", "foreign", {"state": 7})

    def use_server(self, server):
        """Set the ``PortServer`` whose ports close while an endpoint is down."""
        self._server = server

    async def __call__(self, scope, receive, send):
        """Serve one request."""
        if scope["type"] != "http":
            return
        if self._beats is None:
            self._beats = asyncio.get_running_loop().create_task(self._beat())
        port = scope["server"][1]
        if port != self._store_port:
            await self._engines.serve(port, scope, receive, send)
        elif scope["path"] == "/control":
            await self._control(receive, send)
        else:
            host = scope["server"][0]
            await self._store.serve(
                scope, receive, address_rewriter.AddressRewriter(send, host, self._endpoints)
            )

    async def _control(self, receive, send):
        """Change faults and return the history."""
        order = json.loads(await asgi.read_body(receive) or b"{}")
        for host, mode in order.get("cut", {}).items():
            self._cut(host, mode)
        for host in order.get("uncut", ()):
            await self._end_cut(host)
        self._crash_kind = order.get("crash_kind", self._crash_kind)
        self._engines.crash_parts = order.get("crash_parts", self._engines.crash_parts)
        self._engines.crash_bodies = order.get("crash_bodies", self._engines.crash_bodies)
        self._engines.crash_moment = order.get("crash_moment", self._engines.crash_moment)
        self._engines.capacity = order.get("capacity", self._engines.capacity)
        self._engines.reading_s = order.get("reading_s", self._engines.reading_s)
        for name, (field, raw) in order.get("odd_entries", {}).items():
            self._write_odd_entry(name, field, raw)
        for endpoint in self._endpoints.values():
            self._control_endpoint(endpoint, order)
        if order.get("save_store"):
            self._store.save_copy()
        if order.get("roll_back_store"):
            self._store.roll_back()
        self._store.silent_watch_hosts.update(order.get("silent_watches", ()))
        self._store.silent_watch_hosts.difference_update(order.get("answered_watches", ()))
        self._store.refused_hosts.update(order.get("refuse_store", ()))
        self._store.refused_hosts.difference_update(order.get("serve_store", ()))
        if "store" in order:
            self._store.fault = order["store"]
        self._store.lost_answers = order.get("lost_answers", self._store.lost_answers)
        if "configuration" in order:
            self._configuration_version = order["configuration"]
            self._time_limits |= order.get("time_limits", {})
            self._extra_keys = order.get("extra_keys", self._extra_keys)
            self._write_configuration()
        groups = []
        for endpoint in self._endpoints.values():
            if endpoint.group is not None:
                groups.append(
                    {"id": endpoint.endpoint_id, "dark": endpoint.is_dark, **endpoint.group}
                )
        document = {
            "history": self._history,
            "groups": groups,
            "second_joins": self._engines.second_joins,
            "cold_arrivals": self._engines.cold_arrivals,
            "down": [item.endpoint_id for item in self._endpoints.values() if item.is_down],
            "calls": self._store.calls,
            "time": time.monotonic(),
        }
        await asgi.send_json(send, 200, document)

    def _write_configuration(self):
        document = configuration(self._configuration_version, **self._time_limits)
        # Random keys take as much space in any encoding.
        keys = random.Random(self._configuration_version)
        document["tenants"][0]["api_keys"].extend(
            f"{keys.getrandbits(128):032x}" for _ in range(self._extra_keys)
        )
        if self._cold_per_s:
            document["services"][0].update(
                cold_start_s=self._cold_start_s, cold_per_s=self._cold_per_s
            )
        self._store.put("config", "main", document)

    def _write_odd_entry(self, name, field, raw):
        """Write the entry of the last endpoint under another name, with a field given as JSON.

        It is that of a new endpoint, which its first heartbeat has written.
        """
        *_, last = self._endpoints.values()
        mark = f"raw value of {name}"
        self._store.raw_values[mark] = raw
        self._store.put("servers", name, {**last.entry(), "seq_no": 1, field: mark})

    def _control_endpoint(self, endpoint, order):
        """Carry out the parts of an order that name the endpoint, in the order of this method."""
        name = endpoint.endpoint_id
        if name in order.get("dark", ()):
            endpoint.is_dark = True
        if name in order.get("paused", {}):
            endpoint.is_dark = True
            asyncio.get_running_loop().call_later(order["paused"][name], self._resume, endpoint)
        if name in order.get("silent", ()):
            endpoint.is_silent = True
        if name in order.get("heard", ()):
            endpoint.is_silent = False
            self._silent.pop(name, None)
            self._publish(endpoint)
        if name in order.get("crash", {}):
            self._crash_endpoint(endpoint, order["crash"][name])
        if name in order.get("reset", ()):
            self._server.reset_connections(endpoint.port)
        if name in order.get("late_orders", {}):
            endpoint.order_delay_s = order["late_orders"][name]
        if name in order.get("cold", {}):
            endpoint.cold_until = time.monotonic() + order["cold"][name]
            self._publish(endpoint)
        if name in order.get("limits", {}):
            endpoint.limit_per_s = order["limits"][name]
        if name in order.get("states_leaving", ()):
            endpoint.states_leaving = True
        if name in order.get("rejecting", {}):
            endpoint.retry_after = order["rejecting"][name]
        self._control_zone(endpoint, order)
        if name in order.get("hold_heartbeat", ()):
            endpoint.heartbeats += 1
            self._held[name] = endpoint.entry()
        if name in order.get("restart", {}):
            endpoint.born = order["restart"][name]
            endpoint.heartbeats = 0
            endpoint.is_leaving = False
            endpoint.states_leaving = False
            endpoint.cold_until = time.monotonic() + self._cold_s(endpoint)
            self._publish(endpoint)
        if name in order.get("leaving", ()):
            endpoint.is_leaving = True
            self._publish(endpoint)
        if name in order.get("leaving_unannounced", ()):
            endpoint.is_leaving = True
            endpoint.is_silent = True
            self._store.remove("servers", name)
        if name in order.get("release_heartbeat", ()):
            self._silent[name] = 0
            self._put_entry(name, self._held.pop(name))

    def _control_zone(self, endpoint, order):
        """Carry out the parts of an order that concern the zone of the endpoint."""
        name = endpoint.endpoint_id
        if name in order.get("evacuate", ()):
            self._evacuated.add(endpoint.zone)
            self._store.put("evacuations", endpoint.zone, {})
        if name in order.get("end_evacuation", ()):
            self._evacuated.discard(endpoint.zone)
            self._store.remove("evacuations", endpoint.zone)

    def _cold_s(self, endpoint):
        """Return for how long an endpoint is cold after its start."""
        return self._cold_start_s if endpoint.domain is not None else 0.0

    def _resume(self, endpoint):
        """Let a paused endpoint go on with what it was doing."""
        endpoint.is_dark = False

    def _crash_endpoint(self, endpoint, down_s, request_id=""):
        """End an endpoint without notice; it starts again ``down_s`` later."""
        if endpoint.is_down:
            return
        self._history.append(("crash", request_id, endpoint.endpoint_id, time.monotonic()))
        endpoint.crash()
        if self._crash_kind == REFUSES:
            self._server.close_port(endpoint.port)
        else:
            self._server.hold_port(endpoint.port, is_reset=self._crash_kind == RESETS)
        self._server.reset_connections(endpoint.port)
        loop = asyncio.get_running_loop()
        self._restarts.add(loop.create_task(self._restart_later(endpoint, down_s)))

    def _cut(self, host, mode):
        """Cut a caller, which uses a host of its own, from all endpoints."""
        for port in self._endpoints:
            if mode == "hang":
                self._engines.hung_hosts.add(host)
                self._server.fill_port(port, host)
                continue
            self._server.close_port(port, host)
            if mode == "reset":
                self._server.reset_connections(port, host)

    async def _end_cut(self, host):
        self._engines.hung_hosts.discard(host)
        for port, endpoint in self._endpoints.items():
            if not endpoint.is_down:
                await self._server.open_port(port, host)

    async def _restart_later(self, endpoint, down_s):
        await asyncio.sleep(down_s)
        endpoint.start(int(time.time() * 1000), self._cold_s(endpoint))
        self._silent.pop(endpoint.endpoint_id, None)
        await self._server.open_port(endpoint.port)
        self._server.release_port(endpoint.port)
        self._publish(endpoint)
        self._restarts.discard(asyncio.current_task())

    def _publish(self, endpoint):
        if not endpoint.sends_heartbeats:
            return
        endpoint.heartbeats += 1
        self._put_entry(endpoint.endpoint_id, endpoint.entry())

    def _put_entry(self, name, entry):
        # A heartbeat that changes nothing else does not change the entry.
        self._store.put("servers", name, entry, ignored_field="seq_no")

    async def _beat(self):
        while True:
            # What the operator and the endpoints have written is written again after a roll-back.
            self._write_configuration()
            for zone in sorted(self._evacuated):
                self._store.put("evacuations", zone, {})
            for endpoint in self._endpoints.values():
                if endpoint.sends_heartbeats:
                    self._silent.pop(endpoint.endpoint_id, None)
                    self._publish(endpoint)
                    continue
                beats = self._silent.get(endpoint.endpoint_id, 0) + 1
                self._silent[endpoint.endpoint_id] = beats
                if beats == SILENT_BEATS:
                    self._store.remove("servers", endpoint.endpoint_id)
            await asyncio.sleep(self._heartbeat_s)


def configuration(version, timeout_ms=8000, idle_timeout_ms=15000, report_lag_ms=0):
    """Return a configuration document."""
    route = {
        "host": HOST_NAME,
        "timeout_ms": timeout_ms,
        "target_latency_ms": 400,
        "priority": 1,
        "max_attempts": 2,
        "public": False,
    }
    engine_spec = {
        "slots": 9,
        "kv_capacity": 900000,
        "stride": 5,
        "models": [
            {"name": "large", "size": 4, "share": 0.5, "pace": 1.0, "load_s": 1.0, "warm_s": 0.1},
            {"name": "small", "size": 2, "share": 0.5, "pace": 0.6, "load_s": 1.0, "warm_s": 0.1},
        ],
        "step_ms": 7.8,
        "per_seq_ms": 0.18,
        "context_per_k": 0.018,
        "read_per_s": 45900.0,
        "pairs_per_m": 0.433,
        "chunk": 2048,
        "loads_per_s": 5.0,
        "loads_at_once": 7,
        "usual": {"prompt": 979, "answer": 154},
        "retain_count": 1,
        "form_ms": 50,
        "report_lag_ms": report_lag_ms,
    }
    routes = [
        {
            **route,
            "name": "chat",
            "path_prefix": "/chat/",
            "kind": "streaming",
            "service": "model",
            "stream_resume": True,
            "gap_aim_ms": 300,
        },
        {
            **route,
            "name": "book",
            "path_prefix": "/book/",
            "kind": "unsafe",
            "service": "app",
            "max_attempts": 1,
        },
        {**route, "name": "look", "path_prefix": "/look/", "kind": "safe", "service": "app"},
    ]
    if version > 1:
        routes.append({**routes[2], "name": "added", "path_prefix": "/added/"})
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": "model",
                "max_conns": 278,
                "health_path": engine.HEALTH_PATH,
                "engine": engine_spec,
            },
            {"name": "app", "max_conns": 110, "health_path": engine.HEALTH_PATH},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1 << 20,
            "idle_timeout_ms": idle_timeout_ms,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
    }
