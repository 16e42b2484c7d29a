"""Gathers the counts of all nodes for the burn report."""

import logging
import time

from lynxlanding.errors import platform as platform_errors
from lynxlanding.observability.burn import burn_rates, slo_object, totals

# Nodes write each 60 s; after three missed writes their counts are called late.
LATE_AFTER_S = 180.0

_logger = logging.getLogger(__name__)


class BurnReporter:
    """``operators.ports.BurnSource`` over the store.

    Parameters
    ----------
    store : ObjectStore
        The platform's store.
    node_id : str
        This node.
    burn_actor : BurnActor proxy
        Counts of this node that are not written yet.
    writer : BurnWriter
        Knows the incarnation of this node.
    settings : ObjectivesSettings
        Targets.
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
        merged = totals.BurnTotals(now)
        nodes = []
        for name in sorted({*self._names(), self._node_id}):
            value = self._read(name)
            if name == self._node_id:
                value = self._with_own(value, now)
            try:
                age_s = now - slo_object.written_at(value)
                if age_s > burn_rates.PERIOD_S:
                    continue
                # One object at a time: all of them together would exceed the node's memory.
                for document in slo_object.documents(value):
                    merged.add(document)
            except (KeyError, TypeError, ValueError) as e:
                _logger.warning("the service-level counts of %s cannot be read: %s", name, e)
                continue
            nodes.append({"node": name, "age_s": age_s, "is_late": age_s > LATE_AFTER_S})
        return {
            "generated_at": now,
            "period_s": burn_rates.PERIOD_S,
            "windows_s": list(burn_rates.WINDOWS),
            "nodes": nodes,
            "rows": burn_rates.calculate(merged, self._targets, now),
        }

    def _names(self):
        try:
            return self._store.get(slo_object.INDEX_KIND, slo_object.INDEX_NAME).value
        except platform_errors.ObjectNotFound:
            return {}

    def _read(self, name):
        try:
            return self._store.get(slo_object.KIND, name).value
        except platform_errors.ObjectNotFound:
            return slo_object.empty(name)

    def _with_own(self, value, now):
        own = self._burn_actor.document(now).get()
        current = slo_object.with_part(value, self._writer.incarnation, own, now)
        return value if current is None else current
