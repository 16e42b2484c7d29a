"""Crowds of clients that exceed the limits, at ``lynxlandingd`` as a process."""

import os
import urllib.parse

import pytest
import urllib3

from lynxlanding_bench import caller, fleet, processes
from lynxlanding_bench.site_day import site_installation
from tests import crowds

MAX_GROWTH_MB = 196
MAX_DESCRIPTORS = 1535
CROWDS = ("large chunks", "one-byte chunks", "stalled bodies", "endless heads", "silent")
SETTINGS = {"idle_timeout_s": 40.0, "max_body_bytes": 16 << 20, "concurrency": 60}


@pytest.fixture
def daemon(tmp_path):
    with processes.Processes(tmp_path) as running:
        installation = fleet.Fleet(running, daemons=1, engines=1, request_settings=SETTINGS)
        installation.start()
        yield installation, running


@pytest.mark.parametrize("crowd", CROWDS)
@pytest.mark.parametrize("listener", ["callers", "peers"])
def test_daemon_outlives_a_crowd(daemon, crowd, listener):
    """Guards against clients that fill the memory of a daemon or take all its connections."""
    installation, running = daemon
    pid = running.pid("node-0")
    before_mb = crowds.read_peak_mb(pid)
    url = installation.daemon_url(0) if listener == "callers" else installation.peer_url(0)
    pool = urllib3.PoolManager(timeout=5.0, retries=False)

    def is_answered():
        try:
            client = caller.Caller(installation.daemon_url(0), "desk-secret", pool)
            is_whole = client.stream("quote", 5).result == caller.WHOLE
            return is_whole and pool.request("GET", url + "/unknown").status in (401, 404)
        except urllib3.exceptions.HTTPError:
            return False

    def check_bounds():
        assert running.is_running("node-0")
        assert len(os.listdir(f"/proc/{pid}/fd")) <= MAX_DESCRIPTORS
        growth_mb = crowds.read_peak_mb(pid) - before_mb
        print(f"growth of the daemon: {growth_mb:.0f} MB from {before_mb:.0f} MB")
        assert growth_mb <= MAX_GROWTH_MB

    with crowds.Crowd(urllib.parse.urlsplit(url).port, crowds.CROWDS[crowd]):
        check_bounds()
        site_installation.wait_for(is_answered, "an ordinary request is answered")
        check_bounds()
