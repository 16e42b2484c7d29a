"""Requests that crash engines and come again: nodes as processes, under sound requests."""

import collections
import dataclasses
import itertools
import os
import time

import pytest

from lynxlanding_bench import processes
from lynxlanding_bench.site_day import calling_installation, crash_checker
from lynxlanding_standins.site import engine

# Fewer nodes and engines than in CI are for runs by hand.
NODE_COUNT = int(os.environ.get("LYNXLANDING_CRASH_TEST_NODES", "9"))
NODES = tuple(f"n{number}" for number in range(NODE_COUNT))
ENGINES = int(os.environ.get("LYNXLANDING_CRASH_TEST_ENGINES", "24"))
PLAIN_ENDPOINTS = 12
HEARTBEAT_S = 1.2
SOUND_PER_S = 20.0
DEADLY_PER_S = 3.0
SOUND_CALLERS = 18
DEADLY_CALLERS = 6
CRASHED_FOR_S = 3.0
DEADLY_BODIES = tuple(f"deadly{number}" for number in range(4))
# Every so many sound requests have this body, which thus comes again and again as well.
REPEATED_BODY = "repeated"
REPEATED_EVERY = 4
SHARED_PARTS = ("a1:40", "c0:200")
OBSERVED_BEFORE_S = 6.0
OBSERVED_S = 24.0
# Time in which sound requests are counted at least.
SAMPLE_S = 7.0
# Share of the sound requests that nodes may refuse for what they share with deadly ones.
MAX_HELD_BACK = 0.02
# Sound requests are not counted if they were sent in the last seconds before the end.
CALL_S = 2.0
EVENTS = 12
STREAMS = "streams"
PLAIN = "plain"


@dataclasses.dataclass(slots=True, frozen=True)
class Response:
    """What a caller got; time in monotonic seconds."""

    sent_at: float
    status: int
    is_whole: bool
    is_held_back: bool


class Installation(calling_installation.CallingInstallation):
    """The site, its nodes, and callers of sound and of deadly requests."""

    def __init__(self, running, kind, has_parts):
        super().__init__(running, ENGINES, PLAIN_ENDPOINTS, HEARTBEAT_S, NODES)
        self._kind = kind
        self._has_parts = has_parts
        self._numbers = itertools.count()
        self.sound = []
        self.deadly = []

    def start_callers(self, count, per_s, make_body, responses):
        """Start callers of requests with ``make_body(number)``."""
        interval_s = count / per_s
        for number in range(count):
            self.start_caller(
                lambda: responses.append(self._call(make_body)),
                interval_s,
                interval_s * number / count,
            )

    def _call(self, make_body):
        number = next(self._numbers)
        body = make_body(number)
        node = NODES[number % len(NODES)]
        request_id = f"{body}-{number}"
        sent_at = time.monotonic()
        if self._kind == PLAIN:
            status, _, received = self.send(node, "POST", "/look/x", request_id, body.encode())
            return Response(sent_at, status, status == 200, b"_quarantined" in received)
        headers = {"X-Model": "small", "X-Token-Counts": "700,60"}
        if self._has_parts:
            headers["X-Prompt-Prefix"] = ",".join([*SHARED_PARTS, f"f{number:x}:460"])
        status, _, received = self.send(node, "POST", "/chat/x", request_id, body.encode(), headers)
        is_whole = status == 200 and received.count(b"\n\n") == EVENTS
        return Response(sent_at, status, is_whole, b"_quarantined" in received)

    def history_by_body(self, wanted):
        """Return the events of the history of one kind, by body of the request."""
        found = collections.defaultdict(list)
        for event, request_id, endpoint_id, at in self.control()["history"]:
            if event == wanted:
                body = request_id.rpartition("-")[0]
                found[body].append(crash_checker.Run(at, request_id, endpoint_id))
        return found


def sound_body(number):
    """Return the body of a sound request; some are alike."""
    return REPEATED_BODY if number % REPEATED_EVERY == 0 else f"sound{number}"


def deadly_body(number):
    """Return the body of a request that crashes engines; each one comes at any node."""
    return DEADLY_BODIES[(number // 2) % len(DEADLY_BODIES)]


@pytest.mark.parametrize(
    ("kind", "moment", "has_parts"),
    [
        (STREAMS, engine.AFTER_FIRST_EVENT, True),
        (STREAMS, engine.BEFORE_RESPONSE, True),
        (STREAMS, engine.AFTER_FIRST_EVENT, False),
        (PLAIN, engine.BEFORE_RESPONSE, False),
    ],
)
def test_requests_that_crash_engines_are_held_back_and_sound_ones_served(
    tmp_path, kind, moment, has_parts
):
    """Guards against a request that comes again and ends one engine after the other, at any node.

    Pattern: the users' incident, and sound requests that are refused for what they share with it.
    """
    with processes.Processes(tmp_path) as running:
        site = Installation(running, kind, has_parts)
        try:
            site.wait_ready()
            site.wait_for_small_groups(4)
            _check(site, f"{kind}, {moment}, {'with' if has_parts else 'without'} parts", moment)
        finally:
            site.stop()


def _third_crashes(crashes):
    """Return the time of the third crash by each body that has crashed three engines."""
    third = []
    for body in DEADLY_BODIES:
        times = sorted(crash.at for crash in crashes[body])
        third.extend(times[crash_checker.CRASHES_BY_REQUEST - 1 :][:1])
    return third


def _check(site, label, moment):
    site.start_callers(SOUND_CALLERS, SOUND_PER_S, sound_body, site.sound)
    time.sleep(OBSERVED_BEFORE_S)
    begun_at = site.control(
        crash_moment=moment, crash_bodies=dict.fromkeys(DEADLY_BODIES, CRASHED_FOR_S)
    )["time"]
    site.start_callers(DEADLY_CALLERS, DEADLY_PER_S, deadly_body, site.deadly)
    time.sleep(OBSERVED_S)
    third = _third_crashes(site.history_by_body("crash"))
    assert third, "no request has crashed three engines"
    # Three ends by each of them are allowed, and take the groups of the engines with them.
    since = max(third) + crash_checker.SOUND_STABLE_S
    time.sleep(max(0.0, since + SAMPLE_S + CALL_S - time.monotonic()))
    until = time.monotonic() - CALL_S
    site.stop()
    runs = site.history_by_body("run")
    crashes = site.history_by_body("crash")
    late = {}
    for body in DEADLY_BODIES:
        times = [crash.at for crash in crashes[body]]
        late[body] = len(crash_checker.late_retries(runs[body], times))
    before = crash_checker.served_share(site.sound, 0.0, begun_at)
    after = crash_checker.served_share(site.sound, since, until)
    held_back = sum(item.is_held_back for item in site.sound) / len(site.sound)
    total = sum(len(crashes[body]) for body in DEADLY_BODIES)
    print(
        f"{label}, {len(NODES)} nodes, {ENGINES} engines: {total} crashes, late retries by body"
        f" {list(late.values())}, sound ones served {before:.3f} before and {after:.3f} from"
        f" {since - begun_at:.1f} s after the first deadly request on, {held_back:.3f} held back"
    )
    assert all(count <= crash_checker.ALLOWED_AFTER for count in late.values())
    assert after >= 0.5 * before
    assert held_back <= MAX_HELD_BACK
