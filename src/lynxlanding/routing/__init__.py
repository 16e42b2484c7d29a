"""Endpoint view and routing policies."""
