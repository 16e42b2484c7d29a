"""Cold engines get few requests: nodes as processes, under streams."""

import collections
import http.client
import signal
import threading
import time

import pytest

from lynxlanding_bench import processes
from lynxlanding_bench.site_day import calling_installation, cold_checker, site_installation

ENGINES = 20
NODES = ("n0", "n1", "n2", "n3", "n4")
HEARTBEAT_S = 1.2
# Each of some six heads gets about 10 requests a second while it is not cold.
COLD_PER_S = 4.0
REQUESTS_PER_S = 60.0
# Nodes read changes of registrations in batches of 0.4 s.
KNOWN_AFTER_S = 1.0


class Installation(calling_installation.CallingInstallation):
    """The site, its nodes, and callers at each of them."""

    def __init__(self, running):
        super().__init__(
            running,
            ENGINES,
            1,
            HEARTBEAT_S,
            NODES,
            site_options=("--cold-per-s", COLD_PER_S, "--cold-start-s", 3.0),
        )
        self.statuses = []
        self._lock = threading.Lock()
        self._count = 0

    def call(self, node):
        with self._lock:
            self._count += 1
            request_id = f"{node}-{self._count}"
        headers = {
            **site_installation.CALLER_HEADERS,
            "X-Request-Id": request_id,
            "X-Model": "small",
            "X-Token-Counts": "700,60",
        }
        sent_at = time.monotonic()
        connection = http.client.HTTPConnection("127.0.0.1", self.nodes[node][0], timeout=6)
        try:
            connection.request("POST", "/chat/x", b"prompt", headers)
            response = connection.getresponse()
            response.read()
            self.statuses.append((sent_at, response.status))
        except (OSError, http.client.HTTPException) as e:
            self.statuses.append((sent_at, repr(e)))
        finally:
            connection.close()

    def find_heads(self):
        groups = [item for item in self.control()["groups"] if item["state"] == "open"]
        return sorted({item["members"][0] for item in groups if len(item["members"]) == 2})

    def crashes(self):
        return [item for item in self.control()["history"] if item[0] == "crash"]


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    with processes.Processes(tmp_path_factory.mktemp("cold")) as running:
        installation = Installation(running)
        installation.wait_ready()
        site_installation.wait_for(lambda: len(installation.find_heads()) >= 4, "groups are open")
        # Surplus groups have retired by then.
        time.sleep(3.0)
        # Each node has several callers, which wait for complete answers.
        for _ in range(4):
            installation.start_caller_at_each_node(installation.call, REQUESTS_PER_S / 4)
        time.sleep(3.0)
        yield installation
        installation.stop()


def play_cold(site, engines, cold_s):
    """Make engines cold; return when, and what they got in any second since the nodes know."""
    before = len(site.control()["cold_arrivals"])
    began_at = site.control(cold=dict.fromkeys(engines, cold_s))["time"]
    time.sleep(cold_s + 0.5)
    arrivals = site.control()["cold_arrivals"][before:]
    known = [item for item in arrivals if item[1] >= began_at + KNOWN_AFTER_S]
    worst = cold_checker.worst_windows(known)
    print(f"worst windows of {cold_checker.WINDOW_S} s at cold engines: {worst}")
    return began_at, worst


def test_others_serve_what_cold_heads_do_not_take(site):
    """Guards against requests that are refused, or crash an engine, while it is cold."""
    heads = site.find_heads()
    began_at, worst = play_cold(site, heads[:2], 5.0)
    assert max(worst.values()) <= cold_checker.allowed_requests(COLD_PER_S)
    assert site.crashes() == []
    statuses = {status for sent_at, status in site.statuses if sent_at >= began_at}
    assert statuses == {200}


def test_requests_beyond_what_all_cold_heads_take_are_refused_at_once(site):
    """Guards against requests that wait for, or crash, heads that are all cold."""
    heads = site.find_heads()
    began_at, worst = play_cold(site, heads, 5.0)
    assert worst, "cold heads get some requests"
    assert max(worst.values()) <= cold_checker.allowed_requests(COLD_PER_S)
    assert site.crashes() == []
    steady = [
        status
        for sent_at, status in site.statuses
        if began_at + KNOWN_AFTER_S <= sent_at <= began_at + 5.0
    ]
    print(f"answers while all heads are cold: {collections.Counter(steady)}")
    assert set(steady) == {200, 503}
    assert steady.count(200) >= 0.5 * COLD_PER_S * len(heads) * 3.0
    # Callers also wait for the processor that this process and the nodes share.
    assert max(site.finished_durations_s('"refused"')) < 0.5


def test_bound_holds_while_nodes_freeze_and_are_replaced(site):
    """Guards against a node that stops and its successor using the same part of the limit."""
    heads = site.find_heads()
    before = len(site.control()["cold_arrivals"])
    began_at = site.control(cold=dict.fromkeys(heads, 12.0))["time"]
    time.sleep(2.0)
    site.running.signal("n1", signal.SIGSTOP)
    site.running.kill("n2")
    time.sleep(1.5)
    site.running.restart("n2")
    time.sleep(2.0)
    site.running.signal("n1", signal.SIGCONT)
    time.sleep(5.0)
    arrivals = site.control()["cold_arrivals"][before:]
    known = [item for item in arrivals if item[1] >= began_at + KNOWN_AFTER_S]
    worst = cold_checker.worst_windows(known)
    print(f"worst windows of {cold_checker.WINDOW_S} s while nodes stop: {worst}")
    assert worst, "cold heads get some requests"
    assert max(worst.values()) <= cold_checker.allowed_requests(COLD_PER_S)
    site_installation.wait_for(lambda: site.is_ready("n2"), "n2 is ready")


def test_standin_crashes_a_cold_engine_that_gets_too_many_requests(site):
    """Guards against a stand-in that bears whatever it gets, so that nothing is tested."""
    last = f"i-{ENGINES - 1:03d}"
    site.control(cold={last: 5.0})
    port = site.store_port + ENGINES
    for _ in range(int(2 * COLD_PER_S) + 1):
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=2)
        try:
            connection.request("GET", "/healthz")
            connection.getresponse().read()
        except (OSError, http.client.HTTPException):
            break
        finally:
            connection.close()
    assert [item[2] for item in site.crashes()] == [last]
