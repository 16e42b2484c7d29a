"""A planned stop of a node whose callers keep their connections open and in use."""

import http.client
import random
import signal
import threading
import time

import pytest

from lynxlanding_bench import processes
from lynxlanding_bench.site_day import site_installation

CALLERS = 6
STOPS = 3
# Requests that run cost the service 30 ms, so the node is idle for moments.
MAX_THINK_S = 0.08
# A request that was sent completely this long before its connection closed must be answered.
READ_S = 0.2


class KeptConnectionCaller:
    """Sends unsafe requests on one connection until the node closes it."""

    def __init__(self, port, name, seed):
        self._port = port
        self._name = name
        self._random_state = random.Random(seed)
        self.answered = set()
        # Requests without a complete answer, with the time from sending to the close.
        self.cut = {}
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def join(self):
        self._thread.join(20.0)
        assert not self._thread.is_alive()

    def _run(self):
        connection = http.client.HTTPConnection("127.0.0.1", self._port, timeout=10)
        count = 0
        while True:
            count += 1
            request_id = f"{self._name}-{count}"
            sent_at = time.monotonic()
            try:
                headers = {**site_installation.CALLER_HEADERS, "X-Request-Id": request_id}
                connection.request("POST", "/book/x", b"booking", headers)
                response = connection.getresponse()
                response.read()
            except (OSError, http.client.HTTPException):
                self.cut[request_id] = time.monotonic() - sent_at
                return
            self.answered.add(request_id)
            if response.will_close:
                return
            time.sleep(self._random_state.uniform(0.0, MAX_THINK_S))


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    with processes.Processes(tmp_path_factory.mktemp("stop")) as running:
        installation = site_installation.SiteInstallation(running, 0, 4, heartbeat_s=1.2)
        installation.wait_ready()
        yield installation


@pytest.mark.parametrize("stop", range(STOPS))
def test_requests_on_kept_connections_are_answered(site, stop):
    """Guards against requests that were accepted right before the exit and are cut off."""
    callers = []
    for number in range(CALLERS):
        name = f"s{stop}c{number}"
        callers.append(KeptConnectionCaller(site.nodes["n1"][0], name, seed=10 * stop + number))
    time.sleep(0.5)
    site.running.signal("n1", signal.SIGTERM)
    for caller in callers:
        caller.join()
    assert site.running.wait("n1", 10.0) == 0
    runs = {item[1] for item in site.control()["history"]}
    for caller in callers:
        assert caller.answered
        for request_id, waited_s in caller.cut.items():
            assert request_id not in runs, "cut off while it ran"
            assert waited_s < READ_S
    site.running.restart("n1")
    site_installation.wait_for(lambda: site.is_ready("n1"), "n1 is ready again")
