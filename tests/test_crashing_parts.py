"""Prompts with a part that crashes engines: nodes as processes, under sound requests."""

import dataclasses
import http.client
import itertools
import os
import threading
import time

import pytest

from lynxlanding_bench import processes
from tests import crash_checker, site_installation

# More nodes and engines than in CI are for runs by hand.
NODE_COUNT = int(os.environ.get("LYNXLANDING_CRASH_TEST_NODES", "9"))
NODES = tuple(f"n{number}" for number in range(NODE_COUNT))
ENGINES = int(os.environ.get("LYNXLANDING_CRASH_TEST_ENGINES", "24"))
HEARTBEAT_S = 1.2
SOUND_PER_S = 20.0
BAD_PER_S = 3.0
SOUND_CALLERS = 18
BAD_CALLERS = 6
CRASHED_FOR_S = 3.0
SHARED_PART = "a1:40"
BAD_PART = "bad0"
# Parts that are in many prompts, sound ones too.
COMMON_PARTS = ("c0:200", "c1:200", "c2:200")
OBSERVED_BEFORE_S = 6.0
OBSERVED_S = 24.0
EVENTS = 12


@dataclasses.dataclass(slots=True, frozen=True)
class Response:
    """What a caller got; times in monotonic seconds."""

    sent_at: float
    duration_s: float
    request_id: str
    status: int
    is_whole: bool


class Installation(site_installation.SiteInstallation):
    """The site, its nodes, and callers of sound and of bad requests."""

    def __init__(self, running):
        super().__init__(running, ENGINES, 1, HEARTBEAT_S, NODES)
        self._stop = threading.Event()
        self._callers = []
        self._numbers = itertools.count()
        self.sound = []
        self.bad = []

    def start_callers(self, count, per_s, parts, responses, kind):
        """Start callers of requests with ``parts()`` and a part of their own in their prompts."""
        for number in range(count):
            caller = threading.Thread(
                target=self._call_in_a_loop, args=(number, count / per_s, parts, responses, kind)
            )
            caller.start()
            self._callers.append(caller)

    def stop(self):
        self._stop.set()
        for caller in self._callers:
            caller.join()

    def _call_in_a_loop(self, number, interval_s, parts, responses, kind):
        time.sleep(interval_s * number / max(1, SOUND_CALLERS))
        while not self._stop.is_set():
            started_at = time.monotonic()
            count = next(self._numbers)
            node = NODES[(number + count) % len(NODES)]
            prefix = ",".join([*parts(count), f"f{count:x}:460"])
            responses.append(self._call(node, f"{kind}-{count}", prefix))
            self._stop.wait(max(0.0, interval_s - (time.monotonic() - started_at)))

    def _call(self, node, request_id, prefix):
        sent_at = time.monotonic()
        connection = http.client.HTTPConnection("127.0.0.1", self.nodes[node][0], timeout=6)
        headers = {
            **site_installation.CALLER_HEADERS,
            "X-Request-Id": request_id,
            "X-Model": "small",
            "X-Token-Counts": "700,60",
            "X-Prompt-Prefix": prefix,
        }
        status = 0
        is_whole = False
        try:
            connection.request("POST", "/chat/x", b"prompt", headers)
            response = connection.getresponse()
            status = response.status
            is_whole = status == 200 and response.read().count(b"\n\n") == EVENTS
        except (OSError, http.client.HTTPException):
            is_whole = False
        finally:
            connection.close()
        return Response(sent_at, time.monotonic() - sent_at, request_id, status, is_whole)

    def bad_runs(self):
        found = []
        for event, request_id, endpoint_id, at in self.control()["history"]:
            if event == "run" and request_id.startswith("bad"):
                found.append(crash_checker.Run(at, request_id, endpoint_id))
        return found

    def crashes(self):
        return [at for event, _, _, at in self.control()["history"] if event == "crash"]


def sound_parts(count):
    """Return parts of a sound prompt, which a bad one has as well."""
    return [SHARED_PART, COMMON_PARTS[count % len(COMMON_PARTS)]]


def bad_parts(count):
    """Return parts of a prompt that crashes engines; no two are alike."""
    return [*sound_parts(count), f"{BAD_PART}:90"]


@pytest.fixture
def site(tmp_path):
    with processes.Processes(tmp_path) as running:
        installation = Installation(running)
        installation.wait_ready()

        def count_heads():
            groups = [item for item in installation.control()["groups"] if item["state"] == "open"]
            return len({item["members"][0] for item in groups if len(item["members"]) == 2})

        site_installation.wait_for(lambda: count_heads() >= 4, "groups are open")
        # Surplus groups have retired by then.
        time.sleep(3.0)
        yield installation
        installation.stop()


def test_prompts_that_crash_engines_are_refused_and_sound_ones_served(site):
    """Guards against requests that end one engine after the other, at any of the nodes.

    Pattern: the users' incident, in which requests with one part in their prompts ended 51 engines.
    """
    site.start_callers(SOUND_CALLERS, SOUND_PER_S, sound_parts, site.sound, "sound")
    time.sleep(OBSERVED_BEFORE_S)
    begun_at = site.control(crash_parts={BAD_PART: CRASHED_FOR_S})["time"]
    site.start_callers(BAD_CALLERS, BAD_PER_S, bad_parts, site.bad, "bad")
    time.sleep(OBSERVED_S)
    until = time.monotonic() - 2.0
    site.stop()
    crashes = site.crashes()
    assert crashes, "the part has crashed no engine"
    late = crash_checker.late_runs(site.bad_runs(), crashes)
    since = crash_checker.sound_since(crashes)
    before = crash_checker.served_share(site.sound, 0.0, begun_at)
    after = crash_checker.served_share(site.sound, since, until)
    print(
        f"{len(NODES)} nodes, {ENGINES} engines: {len(crashes)} crashes, {len(late)} late requests,"
        f" sound ones served {before:.3f} before and {after:.3f} from"
        f" {since - begun_at:.1f} s after the first bad request on"
    )
    assert len(late) <= crash_checker.ALLOWED_AFTER
    assert after >= 0.5 * before
