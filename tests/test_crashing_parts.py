"""Prompts with a part that crashes engines: nodes as processes, under sound requests."""

import dataclasses
import itertools
import os
import time

import pytest

from lynxlanding_bench import processes
from lynxlanding_bench.site_day import calling_installation, crash_checker
from lynxlanding_standins.site import application

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
# Time in which sound requests are counted at least, and in which the last ones end.
SAMPLE_S = 7.0
EVENTS = 12


@dataclasses.dataclass(slots=True, frozen=True)
class Response:
    """What a caller got; time in monotonic seconds."""

    sent_at: float
    status: int
    is_whole: bool


class Installation(calling_installation.CallingInstallation):
    """The site, its nodes, and callers of sound and of bad requests."""

    def __init__(self, running):
        super().__init__(running, ENGINES, 1, HEARTBEAT_S, NODES)
        self._numbers = itertools.count()
        self.sound = []
        self.bad = []

    def start_callers(self, count, per_s, parts, responses, kind):
        """Start callers of requests with ``parts()`` and a part of their own in their prompts."""
        interval_s = count / per_s
        for number in range(count):
            self.start_caller(
                lambda: responses.append(self._call(parts, kind)),
                interval_s,
                interval_s * number / count,
            )

    def _call(self, parts, kind):
        count = next(self._numbers)
        prefix = ",".join([*parts(count), f"f{count:x}:460"])
        sent_at = time.monotonic()
        status, is_whole = self.stream(
            NODES[count % len(NODES)], f"{kind}-{count}", EVENTS, {"X-Prompt-Prefix": prefix}
        )
        return Response(sent_at, status, is_whole)

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
        installation.wait_for_small_groups(4)
        yield installation
        installation.stop()


@pytest.mark.parametrize(
    "crash_kind", [application.REFUSES, application.RESETS, application.CLOSES]
)
def test_prompts_that_crash_engines_are_refused_and_sound_ones_served(site, crash_kind):
    """Guards against requests that end one engine after the other, at any of the nodes.

    Pattern: the users' incident, in which requests with one part in their prompts ended 51 engines.
    """
    site.start_callers(SOUND_CALLERS, SOUND_PER_S, sound_parts, site.sound, "sound")
    time.sleep(OBSERVED_BEFORE_S)
    begun_at = site.control(crash_kind=crash_kind, crash_parts={BAD_PART: CRASHED_FOR_S})["time"]
    site.start_callers(BAD_CALLERS, BAD_PER_S, bad_parts, site.bad, "bad")
    time.sleep(OBSERVED_S)
    crashes = site.crashes()
    if crashes:
        # The fifth end may be that of a trial, shortly before.
        time.sleep(max(0.0, crash_checker.sound_since(crashes) + SAMPLE_S - time.monotonic()))
    until = time.monotonic() - 2.0
    site.stop()
    crashes = site.crashes()
    assert crashes, "the part has crashed no engine"
    late = crash_checker.late_runs(site.bad_runs(), crashes)
    since = crash_checker.sound_since(crashes)
    before = crash_checker.served_share(site.sound, 0.0, begun_at)
    after = crash_checker.served_share(site.sound, since, until)
    print(
        f"{crash_kind}, {len(NODES)} nodes, {ENGINES} engines: {len(crashes)} crashes,"
        f" {len(late)} late requests, sound ones served {before:.3f} before and {after:.3f} from"
        f" {since - begun_at:.1f} s after the first bad request on"
    )
    assert len(late) <= crash_checker.ALLOWED_AFTER
    assert after >= 0.5 * before
