"""Sends orders to engines, within the limits on repeats and on loads of weights."""

import threading
import time

import eliot

from lynxlanding.replicas import (
    engine_order,
    load_tracker,
    order_outcome,
    order_rate_limiter,
    placement,
)

ORDER_SENT = "lynxlanding:order:sent"


class OrderSender:
    """Owner of what was ordered by this node.

    Parameters
    ----------
    engine_client : EngineClient
        Sends orders.
    load_window_s : float
        Window of the limit on loads that begin, in seconds.
    loading_elsewhere : callable
        Returns the ids of the engines that load weights by the orders of other nodes.
    on_effect : callable
        Called without arguments when an engine has accepted an order.
    """

    def __init__(self, engine_client, load_window_s, loading_elsewhere, on_effect):
        self._client = engine_client
        self._loading_elsewhere = loading_elsewhere
        self._on_effect = on_effect
        self._pacer = order_rate_limiter.OrderRateLimiter(load_window_s)
        self._loads = load_tracker.LoadTracker()

    @property
    def loading(self):
        """Engines that load weights by this node's orders."""
        return frozenset(self._loads.under_way)

    def under_way(self):
        """Return the models that engines of the fleet load, as far as known."""
        loading = dict.fromkeys(self._loading_elsewhere())
        loading.update(self._loads.under_way)
        return loading

    def settle(self, records, now):
        """Forget what has had its effect, by the registered ``records``."""
        self._pacer.forget_old(now)
        self._loads.settle(records, now)

    def send(self, order, record, engine, part, *, has_traffic, is_background=False):
        """Send an order from a thread of its own, unless it has to wait.

        Parameters
        ----------
        order : EngineOrder
            The order.
        record : EndpointRecord
            Engine that receives it.
        engine : EngineSpec
            Models and limits of the weight store.
        part : float
            Part of the limit on loads that this node uses.
        has_traffic : bool
            Whether callers wait, so that loads are slow and limited.
        is_background : bool, optional
            Whether the order only makes the engine ready for another model.
        """
        now = time.monotonic()
        if not self._pacer.is_due(order, _repeat_time(order, engine, has_traffic), now):
            return
        is_load = order.kind in (engine_order.JOIN, engine_order.STAGE) and placement.needs_load(
            record, order.model
        )
        load_s = 0.0
        if is_load and has_traffic:
            if not self._may_load(engine, part, now, is_background=is_background):
                return
            load_s = engine.models[order.model].load_s
            self._loads.begin(record, order.model, load_s, now)
        self._pacer.note_sent(order, is_load, now)
        threading.Thread(target=self._deliver, args=(order, record, load_s), daemon=True).start()

    def _may_load(self, engine, part, now, *, is_background):
        under_way = len(self.under_way())
        if not load_tracker.may_begin(engine.loads_at_once, under_way, is_background=is_background):
            return False
        return self._pacer.may_load(engine.loads_per_s, part, now)

    def _deliver(self, order, record, load_s):
        started_at = time.monotonic()
        outcome = self._client.send_order(record, order)
        eliot.log_message(
            message_type=ORDER_SENT,
            order=order.kind,
            endpoint=order.endpoint_id,
            group=order.group,
            epoch=order.epoch,
            model=order.model,
            outcome=outcome,
            duration_s=round(time.monotonic() - started_at, 4),
        )
        if load_s and outcome == order_outcome.CONFLICT:
            # It loads another model, ordered by a node that is gone.
            self._loads.begin(record, None, load_s, time.monotonic())
        elif load_s and outcome not in (order_outcome.BEGUN, order_outcome.UNKNOWN):
            self._loads.cancel(order.endpoint_id)
        if outcome in (order_outcome.BEGUN, order_outcome.ALREADY_DONE):
            self._on_effect()


def _repeat_time(order, engine, has_traffic):
    """Return the time after which an order without an effect is sent again, in seconds."""
    if order.kind != engine_order.STAGE:
        return order_rate_limiter.REPEAT_S
    repeat_s = order_rate_limiter.STAGE_REPEAT_FACTOR * engine.models[order.model].load_s
    return repeat_s if has_traffic else repeat_s * order_rate_limiter.STARTING_LOAD_PART
