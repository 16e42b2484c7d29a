"""Crowds of clients that exceed the limits, at a node of the platform as a process.

The tests check neither times nor shares: the process lives, its memory and descriptors stay under
a bound, and an ordinary request is answered while the crowd is connected.
"""

import http.client
import os
import signal
import threading
import time

import pytest

from lynxlanding_bench import processes
from lynxlanding_bench.site_day import calling_installation, site_installation
from tests import crowds

NODE = "n0"
ENDPOINTS = 3
HEARTBEAT_S = 0.6
# As on the VMs.
CONCURRENCY = 400
# Memory of a VM whose settings do not state it.
MAX_PEAK_MB = 256
# Descriptors of the smallest VM.
MAX_DESCRIPTORS = 1535
LISTENER_CROWDS = ("large chunks", "endless heads", "silent", "pipelined")
LISTENER_PATHS = {"readiness": (1, "/v1/ready"), "metrics": (2, "/metrics")}
# A node has 8 s between SIGTERM and its exit.
EXIT_LIMIT_S = 20
SAMPLING_INTERVAL_S = 0.05


@pytest.fixture
def site(tmp_path):
    with processes.Processes(tmp_path) as running:
        installation = calling_installation.CallingInstallation(
            running, 0, ENDPOINTS, HEARTBEAT_S, (NODE,), concurrency=CONCURRENCY
        )
        installation.wait_ready()
        installation.send(NODE, "POST", "/book/x", "before", b"b")
        yield installation
        installation.stop()


def is_answered(site):
    return site.send(NODE, "POST", "/book/x", "ordinary", b"b")[0] == 200


def check_bounds(site):
    pid = site.running.pid(NODE)
    assert site.running.is_running(NODE)
    assert len(os.listdir(f"/proc/{pid}/fd")) <= MAX_DESCRIPTORS
    peak_mb = crowds.read_peak_mb(pid)
    print(f"peak of the node: {peak_mb:.0f} MB")
    assert peak_mb <= MAX_PEAK_MB


@pytest.mark.parametrize("crowd", crowds.CROWDS)
def test_node_outlives_a_crowd(site, crowd):
    """Guards against clients that fill the memory of a node or take all its connections."""
    with crowds.Crowd(site.nodes[NODE][0], crowds.CROWDS[crowd]):
        check_bounds(site)
        site_installation.wait_for(lambda: is_answered(site), "an ordinary request is answered")
        check_bounds(site)


@pytest.mark.parametrize("listener", LISTENER_PATHS)
@pytest.mark.parametrize("crowd", LISTENER_CROWDS)
def test_other_listeners_outlive_a_crowd(site, crowd, listener):
    """Guards against clients of the readiness and metrics addresses that stop the node."""
    index, path = LISTENER_PATHS[listener]
    port = site.nodes[NODE][index]

    def is_served():
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
        try:
            connection.request("GET", path)
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    with crowds.Crowd(port, crowds.CROWDS[crowd]):
        check_bounds(site)
        site_installation.wait_for(is_served, f"{path} is served")
        assert is_answered(site)
        check_bounds(site)


def test_stopping_node_outlives_a_crowd(site):
    """Guards against clients that fill the memory of a node while it stops or keep it from it."""
    pid = site.running.pid(NODE)
    peaks_mb = []

    def sample():
        # A process that has just ended has no peak.
        while site.running.is_running(NODE):
            peaks_mb.append(crowds.read_peak_mb(pid))
            time.sleep(SAMPLING_INTERVAL_S)

    sampler = threading.Thread(target=sample, daemon=True)
    sampler.start()
    site.running.signal(NODE, signal.SIGTERM)
    with crowds.Crowd(site.nodes[NODE][0], crowds.CROWDS["several kinds"]):
        assert site.running.wait(NODE, EXIT_LIMIT_S) == 0
    sampler.join()
    print(f"peak of the node: {max(peaks_mb):.0f} MB")
    assert max(peaks_mb) <= MAX_PEAK_MB
