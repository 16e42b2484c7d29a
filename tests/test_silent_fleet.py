"""All or most engines are silent for a second while the configuration changes."""

import collections
import functools
import http.client
import itertools
import os
import random
import time

import pytest

from lynxlanding_bench import processes
from lynxlanding_bench.site_day import calling_installation, site_installation

SEED = int(os.environ.get("LYNXLANDING_SILENCE_TEST_SEED", "20261205"))
NODES = tuple(f"n{number}" for number in range(4))
ENGINES = 20
ENDPOINTS = 3
HEARTBEAT_S = 1.2
EVENTS = 12
# Streams that a group takes at once, and the time for which it reads a prompt.
CAPACITY = 9
READING_S = 0.2
CALLERS_PER_NODE = 16
STREAMS_PER_S = 60.0
SAFE_PER_S = 10.0
# Share of the engines, and seconds of silence.
SILENCES = ((1.0, 1.2), (0.6, 1.1), (1.0, 1.3), (0.6, 1.0))
# Time limits of the configuration that comes before each silence; the first one adds a route.
CHANGES = (
    {"idle_timeout_ms": 12000},
    {"timeout_ms": 6000},
    {"timeout_ms": 8000},
    {"idle_timeout_ms": 15000},
)
PAUSE_S = 2.5
# Callers leave after this long without an event or an answer.
PATIENCE_S = 2.0
REFUSED = "refused"
WHOLE = "whole"


class Installation(calling_installation.CallingInstallation):
    """The site, its nodes, and impatient callers."""

    def __init__(self, running):
        super().__init__(running, ENGINES, ENDPOINTS, HEARTBEAT_S, NODES)
        self._numbers = itertools.count()
        self.outcomes = []

    def start_callers(self):
        # Each caller waits for its answer, so several share the rate of a node.
        for _ in range(CALLERS_PER_NODE):
            self.start_caller_at_each_node(
                functools.partial(self._call, "stream"), STREAMS_PER_S / CALLERS_PER_NODE
            )
            self.start_caller_at_each_node(
                functools.partial(self._call, "safe"), SAFE_PER_S / CALLERS_PER_NODE
            )

    def silence(self, share, silent_s, random_state):
        """Let some of all endpoints answer nothing for a time."""
        endpoints = [f"i-{number:03d}" for number in range(ENGINES + ENDPOINTS)]
        chosen = random_state.sample(endpoints, round(share * len(endpoints)))
        self.control(paused=dict.fromkeys(chosen, silent_s))

    def _call(self, kind, node):
        request_id = f"{kind}-{next(self._numbers)}"
        begun_at = time.monotonic()
        outcome = self._request(kind, node, request_id)
        self.outcomes.append((request_id, outcome, round(time.monotonic() - begun_at, 2)))

    def _request(self, kind, node, request_id):
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.nodes[node][0], timeout=PATIENCE_S
        )
        headers = {**site_installation.CALLER_HEADERS, "X-Request-Id": request_id}
        line = ("GET", "/look/x", None)
        if kind == "stream":
            line = ("POST", "/chat/x", b"prompt")
            headers |= {"X-Model": "small", "X-Token-Counts": "700,60"}
        events = 0
        try:
            connection.request(*line, headers)
            response = connection.getresponse()
            if response.status in (429, 503):
                return REFUSED
            if response.status != 200:
                return f"status {response.status}"
            if kind != "stream":
                response.read()
                return WHOLE
            while data := response.read1(65536):
                events += data.count(b"\n\n")
            return WHOLE if events == EVENTS else f"ended after {events} events"
        except TimeoutError:
            return f"left after {events} events"
        except (OSError, http.client.HTTPException) as e:
            return f"{type(e).__name__} after {events} events"
        finally:
            connection.close()


@pytest.fixture
def site(tmp_path):
    with processes.Processes(tmp_path) as running:
        installation = Installation(running)
        installation.wait_ready()
        installation.wait_for_small_groups(4)
        installation.control(capacity=CAPACITY, reading_s=READING_S)
        installation.start_callers()
        time.sleep(2.0)
        yield installation
        installation.stop()


def test_no_answer_is_given_up_because_all_or_most_engines_are_silent(site):
    """Guards against streams that are cut because the engine that goes on with them is silent too.

    Refusals are allowed: nothing is served while everything is silent.
    """
    random_state = random.Random(SEED)
    for number, (share, silent_s) in enumerate(SILENCES):
        site.control(configuration=2 + number, time_limits=CHANGES[number])
        time.sleep(0.5)
        site.silence(share, silent_s, random_state)
        time.sleep(PAUSE_S)
    site.stop()
    counts = collections.Counter(outcome for _, outcome, _ in site.outcomes)
    print(f"seed {SEED}: {dict(counts)}")
    lost = [item for item in site.outcomes if item[1] not in (WHOLE, REFUSED)]
    assert lost == []
