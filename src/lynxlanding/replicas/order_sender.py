"""Sends orders to engines within the limits on resending and on weight loads."""

import threading
import time

import eliot

from lynxlanding.errors import endpoint as endpoint_errors
from lynxlanding.replicas import (
    engine_order,
    join_condition,
    order_outcome,
    order_rate_limiter,
    placement,
    weight_load_tracker,
)

# Added to the age of reports before an engine that has accepted an order is asked to join a group.
# Until its report shows the order, the engine refuses a join that is tied to the report.
REPORT_MARGIN_S = 0.02

ORDER_SENT = "lynxlanding:order:sent"
REPORT_MISSING = "lynxlanding:order:report_missing"


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
    on_report_missing : callable, optional
        Called with the id of an engine that has sent no report before it was to join a group.
    """

    def __init__(
        self,
        engine_client,
        load_window_s,
        read_loading_elsewhere,
        on_accepted,
        on_report_missing=lambda endpoint_id: None,
    ):
        self._client = engine_client
        self._read_loading_elsewhere = read_loading_elsewhere
        self._on_accepted = on_accepted
        self._on_report_missing = on_report_missing
        self._rate_limiter = order_rate_limiter.OrderRateLimiter(load_window_s)
        self._loads = weight_load_tracker.WeightLoadTracker()
        # When engines accepted the latest order of this node, by endpoint id.
        self._accepted_at = {}

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
        for endpoint_id in list(self._accepted_at):
            if endpoint_id not in records:
                self._accepted_at.pop(endpoint_id, None)

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
            target=self._deliver,
            args=(order, record, load_s, engine_spec.report_lag_s, plan_version),
            daemon=True,
        ).start()

    def _can_start_load(self, engine_spec, load_limit_share, now, *, is_background):
        in_progress = len(self.fleet_loads())
        if not weight_load_tracker.can_start_load(
            engine_spec.max_concurrent_loads, in_progress, is_background=is_background
        ):
            return False
        return self._rate_limiter.allows_load(engine_spec.loads_per_s, load_limit_share, now)

    def _deliver(self, order, record, load_s, report_lag_s=0.0, plan_version=None):
        started_at = time.monotonic()
        expected_orders = None
        reported_group = None
        if order.kind == engine_order.JOIN:
            outcome, expected_orders, reported_group = self._deliver_join(
                order, record, report_lag_s + REPORT_MARGIN_S
            )
        else:
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
            expected_orders=expected_orders,
            reported_group=reported_group,
            outcome=outcome,
            duration_s=round(time.monotonic() - started_at, 4),
        )
        if load_s and outcome == order_outcome.CONFLICT:
            # The engine is loading another model on the order of a node that is gone.
            self._loads.start(record, None, load_s, time.monotonic())
        elif load_s and outcome not in (order_outcome.BEGUN, order_outcome.UNKNOWN):
            self._loads.cancel(order.endpoint_id)
        if outcome in (order_outcome.BEGUN, order_outcome.ALREADY_DONE):
            self._accepted_at[order.endpoint_id] = time.monotonic()
            self._on_accepted()

    def _deliver_join(self, order, record, report_age_s):
        """Send a join, once more if the report was too old to show the latest order.

        Returns the outcome, the number of orders that the engine has accepted and the name of the
        group that it has reported.
        """
        accepted_at = self._accepted_at.get(order.endpoint_id)
        if accepted_at is not None:
            time.sleep(max(0.0, accepted_at + report_age_s - time.monotonic()))
        result = self._try_join(order, record)
        if result[0] in (order_outcome.CONFLICT, order_outcome.WITHHELD):
            # Another node may have ordered something just before.
            time.sleep(report_age_s)
            result = self._try_join(order, record)
        return result

    def _try_join(self, order, record):
        """Send a join that the engine refuses if it has accepted an order since its report."""
        try:
            report = self._client.fetch_report(record)
        except endpoint_errors.AttemptError as e:
            eliot.log_message(
                message_type=REPORT_MISSING,
                endpoint=record.endpoint_id,
                group=order.group,
                error=e.type_name,
                detail=str(e)[:200],
            )
            self._on_report_missing(record.endpoint_id)
            return order_outcome.UNREACHABLE, None, None
        reported_group = None if report.membership is None else report.membership.name
        join, outcome = join_condition.prepare(order, report)
        if join is not None:
            outcome = self._client.send_order(record, join)
        return outcome, report.accepted_orders, reported_group


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
