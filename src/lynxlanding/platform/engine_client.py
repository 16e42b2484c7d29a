"""HTTP client that sends orders to engines and fetches their reports."""

import json

import urllib3

from lynxlanding.errors import endpoint as endpoint_errors
from lynxlanding.errors import platform as platform_errors
from lynxlanding.platform import endpoint_call, endpoint_codec, fields, request_headers, sockets
from lynxlanding.replicas import engine_order, engine_report, order_outcome
from lynxlanding.transport import guarded_connection, json_document

# Engines respond within a few milliseconds or not at all, and callers send unanswered orders again.
ORDER_TIMEOUT_S = 0.8
# An engine is considered unresponsive after two failed probes, so this timeout determines how soon
# its group is formed again.
REPORT_TIMEOUT_S = 0.4

_OUTCOMES_BY_STATUS = {
    200: order_outcome.ALREADY_DONE,
    202: order_outcome.BEGUN,
    409: order_outcome.CONFLICT,
    412: order_outcome.STALE,
    421: order_outcome.WRONG_ENDPOINT,
}
_NUMBER_TYPES = (int, float)


class PlatformEngineClient:
    """Sends orders and probes to engines, without retries."""

    def __init__(self):
        self._pool = guarded_connection.make_pool_manager(
            endpoint_call.MAX_BODY_BYTES,
            num_pools=64,
            maxsize=1,
            socket_options=sockets.OPTIONS,
            retries=False,
        )

    def send_order(self, record, order):
        """Send an order to an engine and return its outcome.

        Parameters
        ----------
        record : EndpointRecord
            Engine that receives the order.
        order : EngineOrder
            The order.

        Returns
        -------
        str
            One of the constants of ``order_outcome``. Transport errors are returned as
            ``UNREACHABLE`` or ``UNKNOWN`` instead of being raised.
        """
        headers = {
            "Content-Type": "application/json",
            request_headers.EXPECT_INSTANCE: record.endpoint_id,
        }
        url = f"http://{record.address}/v1/order"
        body = json.dumps(_encode_order(order)).encode()
        try:
            response = self._pool.request(
                "POST", url, body=body, headers=headers, timeout=ORDER_TIMEOUT_S
            )
        except (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError):
            return order_outcome.UNREACHABLE
        except urllib3.exceptions.HTTPError:
            return order_outcome.UNKNOWN
        return _OUTCOMES_BY_STATUS.get(response.status, order_outcome.REFUSED)

    def fetch_report(self, record):
        """Fetch and return the ``EngineReport`` of an engine.

        Raises
        ------
        errors.endpoint.AttemptError
            If the engine does not respond, refuses the call or sends a malformed report, or if
            another engine has its address.
        """
        response = endpoint_call.get(self._pool, record, "/v1/report", REPORT_TIMEOUT_S)
        if response.status != 200:
            raise endpoint_errors.EndpointRefused(response.status)
        try:
            return _decode_report(json_document.decode(response.data))
        except (ValueError, platform_errors.MalformedEntry) as e:
            raise endpoint_errors.MalformedResponse(f"{record.address}: {e}") from e


def _encode_order(order):
    if order.kind == engine_order.STAGE:
        return {"operation": "stage", "model": order.model}
    document = {"operation": order.kind, "group": order.group, "epoch": order.epoch}
    if order.kind == engine_order.JOIN:
        document["model"] = order.model
        document["members"] = list(order.members)
    if order.expected_orders is not None:
        document["expected"] = order.expected_orders
    if order.kind == engine_order.CLOSE:
        document["close_mode"] = "aborted" if order.aborts_work else "pending"
    return document


def _decode_report(document):
    return engine_report.EngineReport(
        started_ms=fields.get(document, "born", int, 0),
        membership=endpoint_codec.decode_membership(document),
        staged_models=endpoint_codec.decode_staged_models(document),
        running=fields.get(document, "running", int, 0),
        waiting=fields.get(document, "waiting", int, 0),
        slowdown=fields.get(document, "pace", _NUMBER_TYPES, 1.0),
        # In registrations the same name counts heartbeats; here it counts accepted orders.
        accepted_orders=fields.get(document, "seq_no", int, None),
    )
