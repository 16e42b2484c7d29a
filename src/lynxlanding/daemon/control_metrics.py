"""Metrics of membership and configuration."""

from opentelemetry import metrics

from lynxlanding.configuration import propagation_status
from lynxlanding.membership import member as member_type


class ControlMetrics:
    """Gauges of the last known status and member list."""

    def __init__(self):
        meter = metrics.get_meter("lynxlanding.control")
        self._revision = meter.create_gauge(
            "lynxlanding_configuration_revision", description="Configuration revision in effect"
        )
        self._confirmed_age = meter.create_gauge(
            "lynxlanding_configuration_confirmed_age_seconds",
            description="Time since the store confirmed the revision; -1 if it never has",
        )
        self._uncertain = meter.create_gauge(
            "lynxlanding_configuration_uncertain",
            description="1 while the store has not confirmed the revision recently",
        )
        self._members = meter.create_gauge(
            "lynxlanding_members", description="Known nodes by state"
        )

    def set_status(self, status):
        """Set the configuration gauges from a ``PropagationStatus``."""
        age = -1.0 if status.confirmed_age_s is None else status.confirmed_age_s
        self._revision.set(status.number)
        self._confirmed_age.set(age)
        self._uncertain.set(0 if status.state == propagation_status.CERTAIN else 1)

    def set_members(self, members):
        """Set the number of nodes by state."""
        for state in (member_type.LIVE, member_type.SUSPECTED):
            count = sum(1 for node in members if node.state == state)
            self._members.set(count, {"state": state})
