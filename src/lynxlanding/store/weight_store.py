"""Client of the platform's weight store."""

from typing import Protocol

import urllib3

from lynxlanding.errors import platform as platform_errors

TIMEOUT_S = 3.0
# Used if a refusal has no valid Retry-After header.
DEFAULT_RETRY_AFTER_S = 1.0


class WeightStore(Protocol):
    """Grants permits to load model weights at a limited rate."""

    def request_permit(self, model: str, version: str) -> None:
        """Request a permit for loading once; raises ``WeightPermitDenied``."""
        ...


class HttpWeightStore:
    """``WeightStore`` over HTTP.

    Parameters
    ----------
    url : str
        Base URL of the weight store.
    pool : urllib3.PoolManager
        Connection pool.
    """

    def __init__(self, url, pool):
        self._url = url.rstrip("/")
        self._pool = pool

    def request_permit(self, model, version):
        """Request a permit for loading once; raises ``WeightPermitDenied``."""
        try:
            response = self._pool.request(
                "POST",
                f"{self._url}/weights/{model}/{version}/permits",
                retries=False,
                timeout=urllib3.Timeout(TIMEOUT_S),
            )
        except urllib3.exceptions.HTTPError as e:
            raise platform_errors.StoreUnavailable(f"weight store: {e}") from e
        if response.status == 429:
            raise platform_errors.WeightPermitDenied(
                _parse_retry_after(response.headers.get("Retry-After"))
            )
        if response.status != 200:
            raise platform_errors.StoreUnavailable(f"weight store: status {response.status}")


def _parse_retry_after(text):
    try:
        return float(text)
    except (TypeError, ValueError):
        return DEFAULT_RETRY_AFTER_S
