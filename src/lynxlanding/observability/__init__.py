"""Metrics, structured logs and the error budget burn of service-level objectives."""
