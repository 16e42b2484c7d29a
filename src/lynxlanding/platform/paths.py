"""Paths that the platform calls on a node."""

READY = "/v1/ready"
