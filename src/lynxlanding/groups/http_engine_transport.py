"""Engine transport over HTTP."""

import json

import urllib3

from lynxlanding.errors import groups as groups_errors
from lynxlanding.groups import engine_report
from lynxlanding.transport import json_document

PROBE_TIMEOUT_S = 1.0


class HttpEngineTransport:
    """``EngineTransport`` over HTTP.

    Parameters
    ----------
    pool : urllib3.PoolManager
        Connection pool.
    order_timeout_s : float
        Timeout of an order; must not exceed ``LeaseRules.order_margin_s``.
    """

    def __init__(self, pool, order_timeout_s):
        self._pool = pool
        self._order_timeout_s = order_timeout_s

    def probe(self, address):
        """Return the load report; raise ``ProbeRefused`` or ``ProbeFailed`` without one."""
        try:
            response = self._pool.request(
                "GET",
                f"http://{address}/load",
                retries=False,
                timeout=urllib3.Timeout(total=PROBE_TIMEOUT_S),
            )
        except urllib3.exceptions.NewConnectionError as e:
            raise groups_errors.ProbeRefused(f"{address}: {e}") from e
        except urllib3.exceptions.HTTPError as e:
            raise groups_errors.ProbeFailed(f"{address}: {e}") from e
        if response.status != 200:
            raise groups_errors.ProbeFailed(f"{address}: status {response.status}")
        try:
            return engine_report.from_value(json_document.decode(response.data))
        except (AttributeError, KeyError, TypeError, ValueError) as e:
            raise groups_errors.ProbeFailed(f"{address}: malformed load report: {e!r}") from e

    def send_order(self, order):
        """Deliver an order and return the engine's instance, or an empty string if unknown."""
        try:
            response = self._pool.request(
                "POST",
                f"http://{order.address}/orders",
                body=json.dumps(order.to_value()).encode(),
                headers={"Content-Type": "application/json"},
                retries=False,
                timeout=urllib3.Timeout(total=self._order_timeout_s),
            )
        except urllib3.exceptions.NewConnectionError as e:
            raise groups_errors.OrderNotDelivered(f"{order.address}: {e}") from e
        except urllib3.exceptions.HTTPError as e:
            raise groups_errors.OrderFailed(f"{order.address}: {e}") from e
        if response.status == 409:
            raise groups_errors.StaleFencingNumber(f"{order.address}: {order.fencing_number}")
        if response.status in (404, 429, 503):
            raise groups_errors.OrderNotDelivered(f"{order.address}: status {response.status}")
        if response.status >= 300:
            raise groups_errors.OrderFailed(f"{order.address}: status {response.status}")
        try:
            return str(json_document.decode(response.data).get("instance", ""))
        except (AttributeError, ValueError):
            return ""
