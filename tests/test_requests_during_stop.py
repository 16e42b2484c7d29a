"""A planned stop of a node whose callers send requests of all kinds until it is gone."""

import dataclasses
import http.client
import itertools
import random
import signal
import threading
import time

import pytest

from lynxlanding_bench import processes
from lynxlanding_bench.site_day import calling_installation, site_installation
from lynxlanding_standins.site import engine

pytestmark = pytest.mark.multiprocess

STOPPED = "n1"
# Of each group of callers; the second one begins during the stop.
CALLERS = 12
SECOND_GROUP_S = 1.0
DELAYS_S = (0.1, 3.0)
# No answer comes before the node has to exit.
LONG_DELAYS_S = (9.0, 10.0)
DEADLINE_MS = "12000"
# Time between the last byte of a request and the close of its connection if it was not read.
LOSS_SLACK_S = 0.2
GRACE_S = 8.0
ROUTES = {
    "unsafe": ("POST", "/book/x", {}),
    "safe": ("GET", "/look/x", {}),
    "stream": ("POST", "/chat/x", {"X-Model": "small", "X-Token-Counts": "700,60"}),
}


@dataclasses.dataclass(slots=True)
class Outcome:
    request_id: str
    kind: str
    sent_s: float
    ended_s: float
    status: int
    is_whole: bool
    is_not_run: bool


class Callers:
    """Send one request after the other on connections that they keep, until no one listens."""

    def __init__(self, port, seed, delays_s):
        self._port = port
        self._delays_s = delays_s
        self._seed = seed
        self._numbers = itertools.count()
        self.outcomes = []
        self._threads = []
        for number in range(CALLERS):
            random_state = random.Random(f"{seed}/{number}")
            thread = threading.Thread(target=self._run, args=(random_state,))
            thread.start()
            self._threads.append(thread)

    def join(self):
        for thread in self._threads:
            thread.join(40.0)
            assert not thread.is_alive()

    def _run(self, random_state):
        while True:
            connection = http.client.HTTPConnection("127.0.0.1", self._port, timeout=15)
            try:
                connection.connect()
            except OSError:
                return
            while connection.sock is not None:
                self._call(connection, random_state)
                time.sleep(random_state.uniform(0.0, 0.05))

    def _call(self, connection, random_state):
        kind = random_state.choice(sorted(ROUTES))
        method, path, headers = ROUTES[kind]
        request_id = f"{self._seed}-{next(self._numbers)}"
        all_headers = {
            **site_installation.CALLER_HEADERS,
            **headers,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": DEADLINE_MS,
            engine.DELAY_HEADER.decode(): f"{random_state.uniform(*self._delays_s):.3f}",
        }
        status = 0
        is_whole = is_not_run = False
        sent_at = time.monotonic()
        try:
            connection.request(method, path, b"body", all_headers)
            sent_at = time.monotonic()
            response = connection.getresponse()
            status = response.status
            is_not_run = response.headers.get("X-Executed") == "no"
            body = response.read()
            is_whole = kind != "stream" or body.count(b"\n\n") == engine.EVENTS
            if response.will_close:
                connection.close()
        except (OSError, http.client.HTTPException):
            connection.close()
        self.outcomes.append(
            Outcome(request_id, kind, sent_at, time.monotonic(), status, is_whole, is_not_run)
        )


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    with processes.Processes(tmp_path_factory.mktemp("stop")) as running:
        installation = calling_installation.CallingInstallation(
            running, 20, 4, 0.6, site_installation.NODES
        )
        installation.wait_ready()
        installation.wait_for_small_groups(4)
        yield installation
        installation.stop()


def stop_node(site, seed, delays_s, calls_before_s):
    """Stop a node under calls; return their outcomes, the time of the signal and what has run."""
    port = site.nodes[STOPPED][0]
    first_group = Callers(port, f"{seed}a", delays_s)
    time.sleep(calls_before_s)
    stopped_at = time.monotonic()
    site.running.signal(STOPPED, signal.SIGTERM)
    time.sleep(SECOND_GROUP_S)
    second_group = Callers(port, f"{seed}b", delays_s)
    assert site.running.wait(STOPPED, GRACE_S) == 0
    first_group.join()
    second_group.join()
    runs = {item[1] for item in site.control()["history"] if item[0] == "run"}
    site.running.restart(STOPPED)
    site_installation.wait_for(lambda: site.is_ready(STOPPED), f"{STOPPED} is ready")
    return first_group.outcomes + second_group.outcomes, stopped_at, runs


def was_refused(outcome, runs):
    """Return whether a request certainly has not run, and its caller knows."""
    if outcome.request_id in runs:
        return False
    if outcome.status == 503:
        return outcome.is_not_run
    # The node has closed the connection without reading the request.
    return outcome.status == 0 and outcome.ended_s - outcome.sent_s < LOSS_SLACK_S


@pytest.mark.parametrize("seed", range(2))
def test_requests_that_are_taken_during_a_stop_are_answered(site, seed):
    """Guards against requests taken late in the grace period that are cut off at its end."""
    outcomes, stopped_at, runs = stop_node(site, f"short{seed}", DELAYS_S, 3.0)
    wrong = []
    kinds_after = set()
    for outcome in outcomes:
        if outcome.status == 200 and outcome.is_whole:
            if outcome.sent_s > stopped_at:
                kinds_after.add(outcome.kind)
            continue
        if not was_refused(outcome, runs):
            wrong.append((round(outcome.sent_s - stopped_at, 2), outcome))
    assert wrong == []
    assert kinds_after == set(ROUTES)


def test_requests_that_outlast_a_stop_get_an_error(site):
    """Guards against a connection that ends without an answer after the request was sent on."""
    outcomes, stopped_at, runs = stop_node(site, "long", LONG_DELAYS_S, 0.3)
    statuses = set()
    wrong = []
    for outcome in outcomes:
        if was_refused(outcome, runs):
            continue
        statuses.add((outcome.status, outcome.is_not_run))
        if outcome.status != 504 or outcome.is_not_run:
            wrong.append((round(outcome.sent_s - stopped_at, 2), outcome))
    assert wrong == []
    assert statuses == {(504, False)}
