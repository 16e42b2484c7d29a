"""Stand-in for the platform's VM list, which lags."""

import time

from starlette import applications, responses, routing


class VmListApi:
    """Serves the VM list as it was ``lag_s`` seconds ago.

    Parameters
    ----------
    vms : list of dict
        VMs with name, address, place, fabric_domain, accelerators and state.
    lag_s : float
        Age of the list that is served, in seconds.
    """

    def __init__(self, vms, lag_s=0.0):
        self._lag_s = lag_s
        self._versions = [(float("-inf"), list(vms))]
        self._unavailable = False

    def app(self):
        """Return the ASGI application."""
        return applications.Starlette(
            routes=[
                routing.Route("/vms", self._get, methods=["GET"]),
                routing.Route("/vms", self._replace, methods=["PUT"]),
                routing.Route("/faults", self._set_faults, methods=["POST"]),
            ]
        )

    async def _get(self, request):
        if self._unavailable:
            return responses.JSONResponse({"error": {"type": "unavailable"}}, status_code=503)
        visible_until = time.monotonic() - self._lag_s
        visible = []
        for changed_at, vms in self._versions:
            if changed_at <= visible_until:
                visible = vms
        return responses.JSONResponse({"vms": visible})

    async def _replace(self, request):
        document = await request.json()
        self._versions.append((time.monotonic(), document["vms"]))
        return responses.JSONResponse({})

    async def _set_faults(self, request):
        faults = await request.json()
        self._unavailable = faults.get("unavailable", self._unavailable)
        self._lag_s = faults.get("lag_s", self._lag_s)
        return responses.JSONResponse({})
