"""The operator's configuration: routes, services, limits and workspaces."""

from lynxlanding.traffic import limits, route, service_spec, traffic_configuration, workspace

__all__ = ["limits", "route", "service_spec", "traffic_configuration", "workspace"]
