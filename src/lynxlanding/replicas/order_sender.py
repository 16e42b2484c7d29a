"""Sends orders to engines within the limits on resending and on weight loads."""

import threading
import time

import eliot

from lynxlanding.replicas import (
    engine_order,
    order_outcome,
    order_rate_limiter,
    placement,
    weight_load_tracker,
)

ORDER_SENT = "lynxlanding:order:sent"


class OrderSender:
    """Sends this node's orders and tracks the weight loads that they start.

    Parameters
    ----------
    engine_client : EngineClient
        Sends orders.
    load_window_s : float
        Window in which started loads are counted, in seconds.
    read_loading_elsewhere : callable
        Returns the ids of the engines that load weights on the orders of other nodes.
    on_accepted : callable
        Called without arguments when an engine has accepted an order.
    """

    def __init__(self, engine_client, load_window_s, read_loading_elsewhere, on_accepted):
        self._client = engine_client
        self._read_loading_elsewhere = read_loading_elsewhere
        self._on_accepted = on_accepted
        self._rate_limiter = order_rate_limiter.OrderRateLimiter(load_window_s)
        self._loads = weight_load_tracker.WeightLoadTracker()

    @property
    def loading_engines(self):
        """Ids of the engines that load weights on this node's orders."""
        return frozenset(self._loads.loads_in_progress)

    def fleet_loads(self):
        """Return the model that each engine of the fleet loads; None where it is unknown."""
        loading = dict.fromkeys(self._read_loading_elsewhere())
        loading.update(self._loads.loads_in_progress)
        return loading

    def remove_finished(self, records, now):
        """Remove old orders, and loads that have finished according to the registrations."""
        self._rate_limiter.remove_expired(now)
        self._loads.remove_finished(records, now)

    def send(
        self,
        order,
        record,
        engine_spec,
        load_limit_share,
        *,
        has_traffic,
        plan_version=None,
        is_background=False,
    ):
        """Send an order from a separate thread, unless a limit delays it.

        Parameters
        ----------
        order : EngineOrder
            Order to send.
        record : EndpointRecord
            Engine that receives it.
        engine_spec : EngineSpec
            Models and limits of the weight store.
        load_limit_share : float
            Share of the fleet's limit on started loads available to this node.
        has_traffic : bool
            Whether requests have arrived, from when on loads are slow and limited.
        plan_version : StoreVersion, optional
            Version of the stored plan that the order follows from.
        is_background : bool, optional
            Whether the order only prepares the engine for an additional model.
        """
        now = time.monotonic()
        if not self._rate_limiter.is_due(
            order, _resend_interval(order, engine_spec, has_traffic), now
        ):
            return
        is_load = order.kind in (engine_order.JOIN, engine_order.STAGE) and placement.needs_load(
            record, order.model
        )
        load_s = 0.0
        if is_load:
            if has_traffic and not self._can_start_load(
                engine_spec, load_limit_share, now, is_background=is_background
            ):
                return
            load_s = engine_spec.models[order.model].load_s
            if not has_traffic:
                load_s *= order_rate_limiter.LOAD_TIME_SHARE_BEFORE_TRAFFIC
            self._loads.start(record, order.model, load_s, now)
        self._rate_limiter.record_sent(order, is_load, now)
        threading.Thread(
            target=self._deliver, args=(order, record, load_s, plan_version), daemon=True
        ).start()

    def _can_start_load(self, engine_spec, load_limit_share, now, *, is_background):
        in_progress = len(self.fleet_loads())
        if not weight_load_tracker.can_start_load(
            engine_spec.max_concurrent_loads, in_progress, is_background=is_background
        ):
            return False
        return self._rate_limiter.allows_load(engine_spec.loads_per_s, load_limit_share, now)

    def _deliver(self, order, record, load_s, plan_version=None):
        started_at = time.monotonic()
        outcome = self._client.send_order(record, order)
        eliot.log_message(
            message_type=ORDER_SENT,
            order=order.kind,
            endpoint=order.endpoint_id,
            group=order.group,
            epoch=order.epoch,
            model=order.model,
            plan_version=str(plan_version),
            record_version=str(record.version),
            outcome=outcome,
            duration_s=round(time.monotonic() - started_at, 4),
        )
        if load_s and outcome == order_outcome.CONFLICT:
            # The engine is loading another model on the order of a node that is gone.
            self._loads.start(record, None, load_s, time.monotonic())
        elif load_s and outcome not in (order_outcome.BEGUN, order_outcome.UNKNOWN):
            self._loads.cancel(order.endpoint_id)
        if outcome in (order_outcome.BEGUN, order_outcome.ALREADY_DONE):
            self._on_accepted()


def _resend_interval(order, engine_spec, has_traffic):
    """Return the seconds after which an order without an effect is sent again."""
    if order.kind != engine_order.STAGE:
        return order_rate_limiter.RESEND_INTERVAL_S
    interval_s = order_rate_limiter.STAGE_RESEND_FACTOR * engine_spec.models[order.model].load_s
    return (
        interval_s
        if has_traffic
        else interval_s * order_rate_limiter.LOAD_TIME_SHARE_BEFORE_TRAFFIC
    )
