"""Endpoint selection, load shedding and request forwarding."""
