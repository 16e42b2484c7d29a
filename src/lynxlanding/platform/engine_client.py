"""Orders to engines and reports from them."""

import json

import urllib3

from lynxlanding.errors import endpoint as endpoint_errors
from lynxlanding.errors import platform as platform_errors
from lynxlanding.platform import endpoint_codec, fields, request_headers, sockets
from lynxlanding.replicas import engine_order, engine_report, order_outcome

# Engines answer orders and probes in a few milliseconds, or do not answer at all; an order is sent
# again anyway.
ORDER_TIMEOUT_S = 0.8
# Two lost probes show a silent engine, so this decides how soon its group is formed again.
REPORT_TIMEOUT_S = 0.4

_OUTCOMES = {
    200: order_outcome.ALREADY_DONE,
    202: order_outcome.BEGUN,
    409: order_outcome.CONFLICT,
    412: order_outcome.STALE,
    421: order_outcome.WRONG_ENDPOINT,
}
_NUMBER = (int, float)


class PlatformEngineClient:
    """Sends orders and probes; never repeats one by itself."""

    def __init__(self):
        self._pool = urllib3.PoolManager(
            num_pools=64, maxsize=1, socket_options=sockets.OPTIONS, retries=False
        )

    def send_order(self, record, order):
        """Send an order to the engine of an ``EndpointRecord``; return an ``order_outcome``."""
        headers = {
            "Content-Type": "application/json",
            request_headers.EXPECT_INSTANCE: record.endpoint_id,
        }
        url = f"http://{record.address}/v1/order"
        body = json.dumps(_encode(order)).encode()
        try:
            response = self._pool.request(
                "POST", url, body=body, headers=headers, timeout=ORDER_TIMEOUT_S
            )
        except (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError):
            return order_outcome.UNREACHABLE
        except urllib3.exceptions.HTTPError:
            return order_outcome.UNKNOWN
        return _OUTCOMES.get(response.status, order_outcome.REFUSED)

    def fetch_report(self, record):
        """Return the ``EngineReport`` of an engine.

        Raises
        ------
        errors.endpoint.AttemptError
            If the engine does not answer, or another one has its address.
        """
        headers = {request_headers.EXPECT_INSTANCE: record.endpoint_id}
        url = f"http://{record.address}/v1/report"
        try:
            response = self._pool.request("GET", url, headers=headers, timeout=REPORT_TIMEOUT_S)
        except urllib3.exceptions.NewConnectionError as e:
            raise endpoint_errors.ConnectionRefused(f"{record.address}: {e}") from e
        except urllib3.exceptions.HTTPError as e:
            raise endpoint_errors.AttemptTimedOut(f"{record.address}: {e}") from e
        if response.status != 200:
            raise endpoint_errors.EndpointRefused(response.status)
        try:
            return _decode_report(json.loads(response.data))
        except (ValueError, platform_errors.MalformedEntry) as e:
            raise endpoint_errors.MalformedResponse(f"{record.address}: {e}") from e


def _encode(order):
    if order.kind == engine_order.STAGE:
        return {"operation": "stage", "model": order.model}
    document = {"operation": order.kind, "group": order.group, "epoch": order.epoch}
    if order.kind == engine_order.JOIN:
        document["model"] = order.model
        document["members"] = list(order.members)
    if order.kind == engine_order.CLOSE:
        document["close_mode"] = "aborted" if order.aborts_work else "pending"
    return document


def _decode_report(document):
    return engine_report.EngineReport(
        born_ms=fields.get(document, "born", int, 0),
        membership=endpoint_codec.decode_membership(document),
        staged_models=endpoint_codec.decode_staged(document),
        running=fields.get(document, "running", int, 0),
        waiting=fields.get(document, "waiting", int, 0),
        pace=fields.get(document, "pace", _NUMBER, 1.0),
    )
