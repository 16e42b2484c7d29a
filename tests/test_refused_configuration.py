"""Configurations reach nodes that the store refuses: nodes as processes."""

import json
import time

import pytest

from lynxlanding_bench import processes
from lynxlanding_bench.site_day import site_installation

NODES = ("n0", "n1", "n2", "n3")
# Time from the store's acknowledgement until a version is in force at all nodes.
BOUND_S = 2.0
REFUSED = ("n1", "n2", "n3")
# The configuration has some 50 KB with them, and does not fit into a datagram.
KEYS = 1500


class Installation(site_installation.SiteInstallation):
    """A site whose store can refuse single nodes."""

    def __init__(self, running):
        super().__init__(running, 2, 2, 1.2, NODES, has_own_hosts=True)

    def version_of(self, name):
        """Return the version of the configuration that a node has last put into force."""
        version = None
        for line in (self.running.directory / f"{name}.log").read_text().splitlines():
            if "configuration:in_force" in line:
                version = json.loads(line)["version"]
        return version

    def wait_for_version(self, version):
        """Wait until a version is in force at all nodes; return the time that took."""
        started_at = time.monotonic()
        for name in self.nodes:
            site_installation.wait_for(
                lambda name=name: self.version_of(name) == version, f"{version} at {name}", 10.0
            )
        return time.monotonic() - started_at


@pytest.fixture
def installation(tmp_path):
    with processes.Processes(tmp_path) as running:
        site = Installation(running)
        site.wait_ready()
        yield site


@pytest.mark.multiprocess
def test_configuration_reaches_nodes_that_the_store_refuses(installation):
    """Guards against nodes that hear of a configuration and cannot read it for seconds."""
    installation.control(refuse_store=[installation.hosts[name] for name in REFUSED])
    # The nodes have noticed it, and wait between their calls.
    time.sleep(3.0)
    for version in (105, 108, 109):
        installation.control(configuration=version, extra_keys=KEYS)
        assert installation.wait_for_version(version) < BOUND_S
    installation.control(serve_store=[installation.hosts[name] for name in REFUSED])
    installation.control(configuration=112)
    assert installation.wait_for_version(112) < BOUND_S
