"""Interface to the engines, for probes and orders."""

from typing import Protocol

from lynxlanding.groups import engine_order, engine_report


class EngineTransport(Protocol):
    """Sends probes to VMs and orders to engines."""

    def probe(self, address: str) -> engine_report.EngineReport:
        """Return the load report; raise ``ProbeRefused`` or ``ProbeFailed`` without one."""
        ...

    def send_order(self, order: engine_order.EngineOrder) -> str:
        """Deliver an order and return the engine's instance.

        Raises ``StaleFencingNumber``, ``OrderNotDelivered`` or ``OrderFailed``. After
        ``OrderFailed`` the order may have taken effect.
        """
        ...
