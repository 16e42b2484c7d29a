"""Configurations of a small deployment, as the operator writes them."""

import json

import callers

KEPT_KEY = "n2ctnfzs989anu6wsjnb"
DROPPED_KEY = "anfqasnmgkcuyj8pjbvk"
# ``value_bytes`` of the store: no object is larger.
VALUE_BYTES = 1048576


def route(name, prefix, kind="safe", service="booking-app"):
    return {
        "name": name,
        "host": callers.HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 4000,
        "target_latency_ms": 300,
        "priority": 2,
        "service": service,
        "max_attempts": 1,
        "public": False,
        "affinity": False,
        "stream_resume": False,
        "gap_aim_ms": 300,
    }


class Operator:
    """Makes versions of a configuration that has grown by many routes."""

    def __init__(self, routes):
        parts = []
        for index in range(routes):
            item = route(f"r-{index:07d}", f"/grown{index:05d}/")
            parts.append(json.dumps(item, separators=(",", ":")))
        self._grown = "".join("," + part for part in parts)

    def make(self, version, timeout_ms=4000, keys=(KEPT_KEY, DROPPED_KEY)):
        """Return the text of a version; ``timeout_ms`` is that of the first route."""
        first = {**route("r-booking", "/lohu930/", "unsafe"), "timeout_ms": timeout_ms}
        own = [first, route("r-lookup", "/pufi791/")]
        document = {
            "version": version,
            "routes": "ROUTES",
            "services": [
                {
                    "name": "booking-app",
                    "health_path": "/healthz",
                    "max_conns": 110,
                    "protocol": "h1",
                    "tls": False,
                }
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
            "tenants": [{"name": "hule930", "api_keys": list(keys), "priority": 1}],
        }
        routes = ",".join(json.dumps(item, separators=(",", ":")) for item in own)
        text = json.dumps(document, separators=(",", ":"))
        text = text.replace('"ROUTES"', f"[{routes}{self._grown}]")
        if len(text) > VALUE_BYTES:
            raise ValueError(f"{len(text)} bytes exceed those of an object")
        return text
