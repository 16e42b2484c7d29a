"""Client of the platform's VM list."""

from typing import Protocol

import urllib3

from lynxlanding.errors import platform as platform_errors
from lynxlanding.store import vm
from lynxlanding.transport import json_document

TIMEOUT_S = 3.0


class VmList(Protocol):
    """Lists the existing VMs; the list may be out of date."""

    def fetch(self) -> list[vm.Vm]:
        """Return all VMs; raises ``errors.platform.StoreUnavailable``."""
        ...


class HttpVmList:
    """``VmList`` over HTTP.

    Parameters
    ----------
    url : str
        Base URL of the VM list.
    pool : urllib3.PoolManager
        Connection pool.
    """

    def __init__(self, url, pool):
        self._url = url.rstrip("/")
        self._pool = pool

    def fetch(self):
        """Return all VMs; raises ``errors.platform.StoreUnavailable``."""
        try:
            response = self._pool.request(
                "GET", self._url + "/vms", retries=False, timeout=urllib3.Timeout(TIMEOUT_S)
            )
        except urllib3.exceptions.HTTPError as e:
            raise platform_errors.StoreUnavailable(f"VM list: {e}") from e
        if response.status != 200:
            raise platform_errors.StoreUnavailable(f"VM list: status {response.status}")
        vms = []
        try:
            for entry in json_document.decode(response.data)["vms"]:
                vms.append(
                    vm.Vm(
                        entry["name"],
                        entry["address"],
                        entry["place"],
                        entry["fabric_domain"],
                        int(entry["accelerators"]),
                        entry["state"],
                    )
                )
        except (KeyError, TypeError, ValueError) as e:
            raise platform_errors.StoreUnavailable(f"VM list: malformed answer: {e}") from e
        return vms
