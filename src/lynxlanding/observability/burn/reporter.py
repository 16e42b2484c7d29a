"""Builds the burn report from the counts of all nodes."""

import logging
import time

from lynxlanding.errors import platform as platform_errors
from lynxlanding.observability.burn import burn_rates, slo_object, totals

# Nodes write every 60 s; their counts are reported as late after three missed writes.
LATE_AFTER_S = 180.0

_logger = logging.getLogger(__name__)


class BurnReporter:
    """Implements ``operators.interfaces.BurnReportSource`` with the counts in the store.

    Parameters
    ----------
    store : ObjectStore
        The platform's store.
    node_id : str
        Name of this node.
    burn_actor : BurnActor proxy
        Current counts of this node, including those not written yet.
    writer : BurnWriter
        Provides the incarnation of this node.
    settings : ObjectivesSettings
        Targets of the objectives.
    clock : callable, optional
        Returns the seconds since the epoch.
    """

    def __init__(self, store, node_id, burn_actor, writer, settings, clock=time.time):
        self._store = store
        self._node_id = node_id
        self._burn_actor = burn_actor
        self._writer = writer
        self._targets = settings.targets()
        self._clock = clock

    def burn_report(self):
        """Return the burn report; raises ``errors.platform.StoreUnavailable``."""
        now = self._clock()
        total_counts = totals.BurnTotals(now)
        nodes = []
        for name in sorted({*self._registered_nodes(), self._node_id}):
            value = self._read(name)
            if name == self._node_id:
                value = self._with_current_counts(value, now)
            try:
                age_s = now - slo_object.written_at(value)
                if age_s > burn_rates.PERIOD_S:
                    continue
                # Objects are added one at a time; all of them would not fit into the node's memory.
                for document in slo_object.all_counts(value):
                    total_counts.add(document)
            except (KeyError, TypeError, ValueError) as e:
                _logger.warning("the service-level counts of %s cannot be read: %s", name, e)
                continue
            nodes.append({"node": name, "age_s": age_s, "is_late": age_s > LATE_AFTER_S})
        return {
            "generated_at": now,
            "period_s": burn_rates.PERIOD_S,
            "windows_s": list(burn_rates.WINDOWS),
            "nodes": nodes,
            "rows": burn_rates.calculate(total_counts, self._targets, now),
        }

    def _registered_nodes(self):
        try:
            return self._store.get(slo_object.INDEX_KIND, slo_object.INDEX_NAME).value
        except platform_errors.ObjectNotFound:
            return {}

    def _read(self, name):
        try:
            return self._store.get(slo_object.KIND, name).value
        except platform_errors.ObjectNotFound:
            return slo_object.empty_value(name)

    def _with_current_counts(self, value, now):
        own_counts = self._burn_actor.document(now).get()
        updated_value = slo_object.with_part(value, self._writer.incarnation, own_counts, now)
        return value if updated_value is None else updated_value
