"""Metrics, logs and the service-level burn report."""
