"""A site with nodes, and callers in threads that observe what they get."""

import collections
import functools
import http.client
import threading
import time

from lynxlanding_bench.site_day import site_installation

CALLER_TIMEOUT_S = 6.0
# Surplus groups have retired by then.
SETTLING_S = 3.0


class CallingInstallation(site_installation.SiteInstallation):
    """A site with nodes whose callers send requests until it is stopped."""

    def __init__(self, running, engines, plain, heartbeat_s, node_names, **options):
        super().__init__(running, engines, plain, heartbeat_s, node_names, **options)
        self._stop = threading.Event()
        self._callers = []

    def start_caller(self, call, interval_s, delay_s=0.0):
        """Start a thread that calls ``call()`` every ``interval_s`` seconds."""
        arguments = (call, interval_s, delay_s)
        caller = threading.Thread(target=self._call_in_a_loop, args=arguments)
        caller.start()
        self._callers.append(caller)

    def start_caller_at_each_node(self, call, per_s):
        """Start a caller for each node that calls ``call(node)``; ``per_s`` is that of all."""
        interval_s = len(self.nodes) / per_s
        for number, node in enumerate(self.nodes):
            delay_s = interval_s * number / len(self.nodes)
            self.start_caller(functools.partial(call, node), interval_s, delay_s)

    def most_used(self, marker):
        """Return the endpoint with the most requests whose id contains ``marker``."""
        counts = collections.Counter()
        for _, request_id, endpoint_id, _ in self.control()["history"]:
            counts[endpoint_id] += marker in request_id
        return counts.most_common(1)[0][0]

    def stop(self):
        """Wait until all callers have ended."""
        self._stop.set()
        for caller in self._callers:
            caller.join()

    def restart_nodes(self):
        """Start all nodes again, so that each one has read the endpoints' addresses itself.

        Nodes pass changes of registrations on to each other, with the addresses at which they
        reach the endpoints themselves. This matters if nodes have own hosts.
        """
        for name in self.nodes:
            self.running.kill(name)
        for name in self.nodes:
            self.running.restart(name)
        self.wait_ready()
        time.sleep(SETTLING_S)

    def wait_for_small_groups(self, count):
        """Wait until the nodes have opened groups of the small model."""

        def count_heads():
            groups = [item for item in self.control()["groups"] if item["state"] == "open"]
            return len({item["members"][0] for item in groups if len(item["members"]) == 2})

        site_installation.wait_for(lambda: count_heads() >= count, "groups are open")
        time.sleep(SETTLING_S)

    def send(self, node, method, path, request_id, body=None, headers=()):
        """Return status, headers and body of a request; no status if the connection broke."""
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.nodes[node][0], timeout=CALLER_TIMEOUT_S
        )
        all_headers = {
            **site_installation.CALLER_HEADERS,
            "X-Request-Id": request_id,
            **dict(headers),
        }
        try:
            connection.request(method, path, body, all_headers)
            response = connection.getresponse()
            return response.status, response.headers, response.read()
        except (OSError, http.client.HTTPException):
            return 0, {}, b""
        finally:
            connection.close()

    def stream(self, node, request_id, events, headers=()):
        """Return the status of a stream, and whether the caller has got all of its events."""
        status, _, is_whole = self.send_stream(node, request_id, events, headers)
        return status, is_whole

    def send_stream(self, node, request_id, events, headers=()):
        """Return status and headers of a stream, and whether it has all of its events."""
        status, received, body = self.send(
            node,
            "POST",
            "/chat/x",
            request_id,
            b"prompt",
            {"X-Model": "small", "X-Token-Counts": "700,60", **dict(headers)},
        )
        is_whole = status == 200 and body.count(b"\n\n") == events
        return status, received, is_whole and received.get("X-Response-Seal") == "seal"

    def _call_in_a_loop(self, call, interval_s, delay_s):
        self._stop.wait(delay_s)
        while not self._stop.is_set():
            started_at = time.monotonic()
            call()
            self._stop.wait(max(0.0, interval_s - (time.monotonic() - started_at)))
