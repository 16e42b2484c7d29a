"""No request reaches an endpoint that has left: nodes as processes, under requests.

The store acknowledges that an endpoint is leaving or gone; the endpoint goes on answering. Its
heartbeats arrive in the orders that a network and restarts allow.
"""

import http.client
import signal
import threading
import time

import pytest

from lynxlanding.peers import feed_roles
from lynxlanding_bench import processes
from lynxlanding_bench.site_day import site_installation

ENDPOINTS = 7
CALLERS_PER_NODE = 2
# As on the platform.
HEARTBEAT_S = 1.2
# No request may reach the endpoint later than this after the store's acknowledgement.
DRAIN_BOUND_S = 2.0
# Long enough for an entry that was put back to lapse.
OBSERVED_S = 5.0


class Installation(site_installation.SiteInstallation):
    """The site, two nodes, and callers that send one request after the other."""

    def __init__(self, running):
        super().__init__(running, engines=0, plain=ENDPOINTS, heartbeat_s=HEARTBEAT_S)
        self.failures = []
        self._stop = threading.Event()
        self._callers = []

    def start_callers(self):
        for number in range(len(self.nodes) * CALLERS_PER_NODE):
            caller = threading.Thread(target=self._call_in_a_loop, args=(number,))
            caller.start()
            self._callers.append(caller)

    def stop(self):
        self._stop.set()
        for caller in self._callers:
            caller.join()

    def runs_at(self, endpoint_id):
        """Return the times at which the endpoint ran requests, by the site's clock."""
        return [at for at, _ in self.runs_with_callers_at(endpoint_id)]

    def runs_with_callers_at(self, endpoint_id):
        """Return the same times, each with the number of the caller."""
        runs = []
        for _, request_id, run_at, at in self.control()["history"]:
            if run_at == endpoint_id:
                runs.append((at, int(request_id[1:].partition("-")[0])))
        return runs

    def node_of(self, caller):
        """Return the name of the node that a caller sends to."""
        return site_installation.NODES[caller % len(self.nodes)]

    def _call_in_a_loop(self, caller):
        port = self.nodes[self.node_of(caller)][0]
        count = 0
        while not self._stop.is_set():
            count += 1
            connection = http.client.HTTPConnection("127.0.0.1", port, timeout=6)
            try:
                connection.request(
                    "GET",
                    "/look/x",
                    headers={
                        **site_installation.CALLER_HEADERS,
                        "X-Request-Id": f"c{caller}-{count}",
                    },
                )
                response = connection.getresponse()
                response.read()
                if response.status != 200:
                    self.failures.append(response.status)
            except OSError as e:
                self.failures.append(repr(e))
            finally:
                connection.close()
            time.sleep(0.005)


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    with processes.Processes(tmp_path_factory.mktemp("leaving")) as running:
        installation = Installation(running)
        installation.wait_ready()
        installation.start_callers()
        time.sleep(1.0)
        yield installation
        installation.stop()


def check_no_late_run(site, endpoint_id, acknowledged_at):
    """Observe the callers' requests and fail if one runs at the endpoint after the bound."""
    time.sleep(OBSERVED_S)
    runs = site.runs_at(endpoint_id)
    assert any(at < acknowledged_at for at in runs), "the endpoint was never used"
    late = [round(at - acknowledged_at, 3) for at in runs if at > acknowledged_at + DRAIN_BOUND_S]
    assert late == [], f"{len(late)} requests, {late[0]} to {late[-1]} s after the acknowledgement"
    assert site.failures == []


def test_late_heartbeat_does_not_take_back_an_announcement(site):
    site.control(hold_heartbeat=["i-000"])
    acknowledged_at = site.control(leaving=["i-000"])["time"]
    time.sleep(0.6)
    site.control(release_heartbeat=["i-000"])
    check_no_late_run(site, "i-000", acknowledged_at)


def test_announcement_right_before_a_late_heartbeat_is_seen(site):
    site.control(hold_heartbeat=["i-001"])
    acknowledged_at = site.control(leaving=["i-001"], release_heartbeat=["i-001"])["time"]
    check_no_late_run(site, "i-001", acknowledged_at)


def test_endpoint_restarted_with_its_clock_set_back_gets_no_requests_after_it_left(site):
    """Guards against records of a new incarnation that are dropped as older."""
    site.control(restart={"i-002": 1000})
    time.sleep(1.0)
    acknowledged_at = site.control(leaving=["i-002"])["time"]
    check_no_late_run(site, "i-002", acknowledged_at)


def test_late_heartbeat_does_not_bring_back_an_endpoint_whose_entry_was_removed(site):
    """Guards against requests to an endpoint that left without an announcement."""
    site.control(hold_heartbeat=["i-003"])
    acknowledged_at = site.control(leaving_unannounced=["i-003"])["time"]
    time.sleep(0.6)
    site.control(release_heartbeat=["i-003"])
    check_no_late_run(site, "i-003", acknowledged_at)


def test_endpoint_that_could_not_reach_the_store_gets_requests_again(site):
    """Guards against an endpoint that stays unused after its entry came back."""
    site.control(silent=["i-004"])
    time.sleep(4.5 * HEARTBEAT_S)
    away_from = site.control()["time"]
    time.sleep(1.0)
    assert not any(at > away_from for at in site.runs_at("i-004"))
    heard_at = site.control(heard=["i-004"])["time"]
    time.sleep(2.0)
    assert any(at > heard_at for at in site.runs_at("i-004"))
    assert site.failures == []


def test_endpoint_restarted_with_its_clock_set_back_is_used_again(site):
    """Guards against an endpoint that its restart takes out of use for good."""
    restarted_at = site.control(restart={"i-005": 1000})["time"]
    time.sleep(4 * HEARTBEAT_S)
    runs = [at - restarted_at for at in site.runs_at("i-005")]
    assert any(at > 3 * HEARTBEAT_S for at in runs)
    assert site.failures == []


def test_announcement_is_heard_while_the_relay_is_paused(site):
    """Guards against subscribers that wait too long for a relay before they read the store."""
    nodes = list(site_installation.NODES)
    relay = feed_roles.choose_relay(nodes[0], nodes)
    site.running.signal(relay, signal.SIGSTOP)
    try:
        acknowledged_at = site.control(leaving=["i-006"])["time"]
        time.sleep(DRAIN_BOUND_S + 1.0)
        runs = site.runs_with_callers_at("i-006")
    finally:
        site.running.signal(relay, signal.SIGCONT)
    delays = []
    for at, caller in runs:
        if site.node_of(caller) != relay:
            delays.append(at - acknowledged_at)
    assert min(delays) < 0.0, "the endpoint was never used by the other node"
    assert max(delays) <= DRAIN_BOUND_S
