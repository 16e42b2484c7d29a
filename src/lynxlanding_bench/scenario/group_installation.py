"""Installation of a scenario whose engines form replica groups."""

import time

from lynxlanding_bench import caller, group_fleet

SERVE_TIMEOUT_S = 20.0


class GroupInstallation(group_fleet.GroupFleet):
    """``GroupFleet`` with the addresses that the scenario runner needs; it has no plain service."""

    @property
    def object_api(self):
        """Base URL of the object API."""
        return self._url(self._platform_ports[0])

    @property
    def engine_ports(self):
        """Ports of the engines, one for each VM."""
        return self._vm_ports

    @property
    def daemon_names(self):
        """Names of the daemons' processes."""
        return [f"node-{index}" for index in range(len(self._daemon_ports) // 2)]

    def daemon_url(self, index):
        """Return the base URL of a daemon's caller listener."""
        return self._url(self._daemon_ports[2 * index])

    def start(self):
        """Start everything and wait until every daemon serves the model."""
        super().start()
        self.wait_for_groups()
        deadline = time.monotonic() + SERVE_TIMEOUT_S
        for client in self.callers():
            while client.stream("probe", 1).result != caller.WHOLE:
                if time.monotonic() > deadline:
                    raise TimeoutError("the replica groups do not serve")
                time.sleep(0.1)
