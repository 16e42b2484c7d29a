"""No request reaches an endpoint that has left: nodes as processes, under requests.

The store acknowledges that an endpoint is leaving or gone; the endpoint goes on answering. Its
heartbeats arrive in the orders that a network and restarts allow.
"""

import http.client
import json
import threading
import time

import pytest

from lynxlanding_bench import processes

ENDPOINTS = 6
NODES = 2
CALLERS_PER_NODE = 2
# As on the platform.
HEARTBEAT_S = 1.2
# No request may reach the endpoint later than this after the store's acknowledgement.
DRAIN_BOUND_S = 2.0
# Long enough for an entry that was put back to lapse.
OBSERVED_S = 5.0
START_LIMIT_S = 25.0
HEADERS = {
    "Host": "site.example",
    "X-Deadline-Ms": "4000",
    "Authorization": "Bearer secret-key",
}


class Installation:
    """The site, two nodes, and callers that send one request after the other."""

    def __init__(self, running):
        ports = processes.free_ports(1 + ENDPOINTS + 4 * NODES)
        self._store_port = ports[0]
        self._node_ports = ports[1 + ENDPOINTS :]
        self._stop = threading.Event()
        self.failures = []
        running.start_standin(
            "site",
            "site",
            "--port",
            self._store_port,
            "--engines",
            0,
            "--plain",
            ENDPOINTS,
            "--heartbeat-s",
            HEARTBEAT_S,
        )
        _wait_for(self._is_site_up, "the site listens")
        for number in range(NODES):
            self._start_node(running, number)
        for number in range(NODES):
            _wait_for(lambda number=number: self._is_ready(number), f"node {number} is ready")
        self._callers = []
        for number in range(NODES * CALLERS_PER_NODE):
            caller = threading.Thread(target=self._call_in_a_loop, args=(number,))
            caller.start()
            self._callers.append(caller)

    def stop(self):
        self._stop.set()
        for caller in self._callers:
            caller.join()

    def control(self, **order):
        connection = http.client.HTTPConnection("127.0.0.1", self._store_port, timeout=5)
        connection.request("POST", "/control", json.dumps(order))
        answer = json.loads(connection.getresponse().read())
        connection.close()
        return answer

    def runs_at(self, endpoint_id):
        """Return the times at which the endpoint ran requests, by the site's clock."""
        return [item[3] for item in self.control()["history"] if item[2] == endpoint_id]

    def _is_site_up(self):
        try:
            return self.control() is not None
        except OSError:
            return False

    def _is_ready(self, number):
        connection = http.client.HTTPConnection(
            "127.0.0.1", self._node_ports[4 * number + 1], timeout=2
        )
        try:
            connection.request("GET", "/v1/ready")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def _start_node(self, running, number):
        front, ready, peers, metrics = self._node_ports[4 * number : 4 * number + 4]
        path = running.directory / f"n{number}.yaml"
        path.write_text(
            f"""
node_id: n{number}
data_centre: {"ab"[number]}
store_address: "127.0.0.1:{self._store_port}"
is_first_start: true
listen:
  callers: "127.0.0.1:{front}"
  readiness: "127.0.0.1:{ready}"
  peers: "127.0.0.1:{peers}"
  metrics: "127.0.0.1:{metrics}"
requests:
  concurrency: 60
  repeat_slack: 400
"""
        )
        running.start(f"n{number}", "lynxlanding_vm", "--config", path)

    def _call_in_a_loop(self, caller):
        port = self._node_ports[4 * (caller % NODES)]
        count = 0
        while not self._stop.is_set():
            count += 1
            connection = http.client.HTTPConnection("127.0.0.1", port, timeout=6)
            try:
                connection.request(
                    "GET", "/look/x", headers={**HEADERS, "X-Request-Id": f"c{caller}-{count}"}
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


def _wait_for(condition, what):
    end = time.monotonic() + START_LIMIT_S
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.1)
    pytest.fail(f"not in time: {what}")


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    with processes.Processes(tmp_path_factory.mktemp("leaving")) as running:
        installation = Installation(running)
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
