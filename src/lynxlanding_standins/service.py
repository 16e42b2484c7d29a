"""Stand-in for a plain service whose POST calls must not be repeated."""

import asyncio
import json
import uuid

from starlette import applications, responses, routing

METHODS = ["GET", "HEAD", "POST", "PUT", "DELETE", "OPTIONS", "PATCH"]


class ServiceApi:
    """Counts how often each reference was run.

    Parameters
    ----------
    work_s : float
        Time that a call takes.
    history : HistoryFile
        Receives each run.
    """

    def __init__(self, work_s, history):
        self._work_s = work_s
        self._history = history
        self._runs = {}
        self._instance = uuid.uuid4().hex
        self._running = 0
        self._draining = False
        self._faults = {"break_after_run": 0, "break_before_run": 0}

    def app(self):
        """Return the ASGI application."""
        return applications.Starlette(
            routes=[
                routing.Route("/healthz", self._healthz, methods=["GET"]),
                routing.Route("/load", self._load, methods=["GET"]),
                routing.Route("/orders", self._order, methods=["POST"]),
                routing.Route("/faults", self._set_faults, methods=["POST"]),
                routing.Route("/runs", self._get_runs, methods=["GET"]),
                routing.Route("/{path:path}", self._call, methods=METHODS),
            ]
        )

    async def _healthz(self, request):
        return responses.JSONResponse({"instance": self._instance})

    async def _load(self, request):
        return responses.JSONResponse(
            {
                "instance": self._instance,
                "slots": 32,
                "running": self._running,
                "queued": 0,
                "draining": self._draining,
            }
        )

    async def _order(self, request):
        order = await request.json()
        self._draining = order.get("order") == "drain"
        return responses.JSONResponse({})

    async def _set_faults(self, request):
        self._faults.update(await request.json())
        return responses.JSONResponse(self._faults)

    async def _get_runs(self, request):
        return responses.JSONResponse(self._runs)

    async def _call(self, request):
        identity = {"X-Request-Id": request.headers.get("x-request-id", "")}
        if self._draining:
            return responses.JSONResponse(
                {"error": {"type": "draining"}},
                status_code=503,
                headers={**identity, "X-Executed": "no", "Retry-After": "1"},
            )
        if self._faults["break_before_run"] > 0:
            self._faults["break_before_run"] -= 1
            return BrokenResponse()
        body = await request.body()
        reference = _find_reference(body) or request.url.path
        self._running += 1
        try:
            self._runs[reference] = self._runs.get(reference, 0) + 1
            self._history.record(
                "run",
                method=request.method,
                path=request.url.path,
                reference=reference,
                endpoint="{}:{}".format(*request.scope["server"]),
                request_id=identity["X-Request-Id"],
            )
            await asyncio.sleep(self._work_s)
        finally:
            self._running -= 1
        if self._faults["break_after_run"] > 0:
            self._faults["break_after_run"] -= 1
            return BrokenResponse()
        answer = {"reference": reference, "run": self._runs[reference], "method": request.method}
        return responses.JSONResponse(answer, headers=identity)


class BrokenResponse:
    """Breaks the connection in the middle of the answer."""

    async def __call__(self, scope, receive, send):
        """Announce a body that never comes, which makes the server cut the connection."""
        headers = [(b"content-length", b"1000")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})


def _find_reference(body):
    try:
        document = json.loads(body)
    except ValueError:
        return None
    if not isinstance(document, dict):
        return None
    return document.get("reference")
