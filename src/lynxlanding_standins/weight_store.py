"""Stand-in for the platform's rate-limited weight store."""

import time

from starlette import applications, responses, routing


class WeightStoreApi:
    """Grants load permits from a token bucket.

    Parameters
    ----------
    permits_per_s : float
        Rate at which permits become available.
    burst : float
        Largest number of permits saved up.
    """

    def __init__(self, permits_per_s=2.0, burst=4.0):
        self._rate = permits_per_s
        self._burst = burst
        self._permits = burst
        self._updated_at = time.monotonic()

    def app(self):
        """Return the ASGI application."""
        return applications.Starlette(
            routes=[
                routing.Route("/weights/{model}/{version}/permits", self._grant, methods=["POST"]),
            ]
        )

    async def _grant(self, request):
        now = time.monotonic()
        self._permits = min(self._burst, self._permits + (now - self._updated_at) * self._rate)
        self._updated_at = now
        if self._permits >= 1.0:
            self._permits -= 1.0
            return responses.JSONResponse({})
        wait_s = (1.0 - self._permits) / self._rate
        return responses.JSONResponse(
            {"error": {"type": "rate_limited"}},
            status_code=429,
            headers={"Retry-After": f"{wait_s:.2f}"},
        )
