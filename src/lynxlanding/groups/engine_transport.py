"""Interface to the engines, for probes and orders."""

from typing import Protocol

from lynxlanding.groups import engine_order, engine_report


class EngineTransport(Protocol):
    """Probes VMs and delivers orders."""

    def probe(self, address: str) -> engine_report.EngineReport:
        """Return a load report; raises ``ProbeRefused`` or ``ProbeFailed``."""
        ...

    def send_order(self, order: engine_order.EngineOrder) -> str:
        """Deliver an order and return the engine's instance.

        Raises ``StaleFencingNumber``, ``OrderNotDelivered`` or ``OrderFailed``; after the last the
        order may have taken effect.
        """
        ...
