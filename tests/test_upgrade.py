"""Nodes that are replaced one after the other by another version, under requests."""

import collections
import dataclasses
import itertools
import os
import pathlib
import random
import signal
import subprocess
import time

import pytest

from lynxlanding_bench import processes
from lynxlanding_bench.site_day import calling_installation, site_installation

pytestmark = pytest.mark.multiprocess

# The last version that states no version of the protocol between nodes.
OLDER = os.environ.get("LYNXLANDING_UPGRADE_TEST_COMMIT", "abfa759")
# Gathered reports need more than 25 nodes; such runs are started by hand.
NODE_COUNT = int(os.environ.get("LYNXLANDING_UPGRADE_TEST_NODES", "6"))
NODES = tuple(f"n{number}" for number in range(NODE_COUNT))
ENGINES = 12
HEARTBEAT_S = 1.2
REQUESTS_PER_S = 20.0
CALLERS = 16
EVENTS = 12
# Callers leave a node in this time once it takes no new connections.
TURN_AWAY_S = 0.3
# Longer than a stream, so that a node that is killed without notice works on no request.
IDLE_AFTER_S = 1.0
BOTH_S = 1.5
STOP_LIMIT_S = 12.0
# Share of the first tries that must be served while both versions run.
SERVED = 0.995
REPOSITORY = pathlib.Path(__file__).parent.parent
UNREADABLE = ("malformed", "unknown kind", "Traceback")


@dataclasses.dataclass(slots=True, frozen=True)
class Response:
    """What a caller got for its first try."""

    request_id: str
    node: str
    sent_at: float
    is_served: bool


class Installation(calling_installation.CallingInstallation):
    """A site whose nodes can run another version."""

    def __init__(self, running):
        super().__init__(running, ENGINES, 2, HEARTBEAT_S, NODES)
        self.in_service = list(NODES)
        self.responses = []
        self._numbers = itertools.count()
        self._random_state = random.Random(1)

    def call(self):
        number = next(self._numbers)
        node = self._random_state.choice(self.in_service)
        sent_at = time.monotonic()
        if number % 2:
            request_id = f"unsafe-{number}"
            status, _, _ = self.send(node, "POST", "/book/1", request_id, b"body")
            is_served = status == 200
        else:
            request_id = f"stream-{number}"
            _, is_served = self.stream(node, request_id, EVENTS)
        self.responses.append(Response(request_id, node, sent_at, is_served))

    def replace(self, name, sources):
        """Stop a node and start it from other sources."""
        self.in_service.remove(name)
        time.sleep(TURN_AWAY_S)
        self.running.signal(name, signal.SIGTERM)
        assert self.running.wait(name, STOP_LIMIT_S) == 0
        self.running.use_sources(name, sources)
        self.running.restart(name)
        site_installation.wait_for(lambda: self.is_ready(name), f"{name} is ready")
        self.in_service.append(name)

    def run_twice(self):
        """Return the unsafe requests that ran more than once."""
        runs = collections.Counter()
        for event, request_id, _, _ in self.control()["history"]:
            runs[request_id] += event == "run"
        return [name for name, count in runs.items() if name.startswith("unsafe") and count > 1]

    def unreadable_lines(self):
        """Return the lines of nodes about messages that they could not read."""
        found = []
        for name in NODES:
            for line in (self.running.directory / f"{name}.log").read_text().splitlines():
                if any(text in line for text in UNREADABLE):
                    found.append(line)
        return found


@pytest.fixture(scope="module")
def older_sources(tmp_path_factory):
    """Sources of the earlier version, from the history of the repository."""
    archive = subprocess.run(
        ["git", "archive", "--format=tar", OLDER, "src"],
        cwd=REPOSITORY,
        capture_output=True,
        check=False,
    )
    if archive.returncode:
        pytest.skip(f"the history has no {OLDER} (shallow clone): {archive.stderr.decode()}")
    directory = tmp_path_factory.mktemp("older")
    subprocess.run(["tar", "-x", "-C", directory], input=archive.stdout, check=True)
    return directory / "src"


@pytest.mark.parametrize("is_rollback", [False, True])
def test_requests_are_served_while_two_versions_run(tmp_path, older_sources, is_rollback):
    """Guards against messages or state of one version that the other misunderstands."""
    first, second = (None, older_sources) if is_rollback else (older_sources, None)
    with processes.Processes(tmp_path) as running:
        for name in NODES:
            running.use_sources(name, first)
        site = Installation(running)
        site.wait_ready()
        site.wait_for_small_groups(2)
        for number in range(CALLERS):
            site.start_caller(site.call, CALLERS / REQUESTS_PER_S, number / REQUESTS_PER_S)
        time.sleep(BOTH_S)
        begun_at = time.monotonic()
        for number, name in enumerate(NODES):
            site.replace(name, second)
            time.sleep(BOTH_S)
            if number == 1 and NODE_COUNT > 3:
                # A node of the first version is lost in between, without notice.
                site.in_service.remove(NODES[3])
                time.sleep(IDLE_AFTER_S)
                running.kill(NODES[3])
                running.restart(NODES[3])
                site_installation.wait_for(lambda: site.is_ready(NODES[3]), "the node is back")
                site.in_service.append(NODES[3])
            for other in NODES:
                assert running.is_running(other), f"{other} has ended by itself"
        time.sleep(BOTH_S)
        site.stop()
        responses = [item for item in site.responses if item.sent_at >= begun_at]
        failed = [item for item in responses if not item.is_served]
        print(f"{NODE_COUNT} nodes: {len(responses) - len(failed)} of {len(responses)} served")
        assert len(failed) <= (1 - SERVED) * len(responses), failed
        assert site.run_twice() == []
        assert site.unreadable_lines() == []
