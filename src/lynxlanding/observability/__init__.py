"""Metrics, structured logs and the burn report of service-level objectives."""
