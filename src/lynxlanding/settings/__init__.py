"""Daemon settings: YAML, validated by pydantic."""

from lynxlanding.settings import daemon_settings, loading

__all__ = ["daemon_settings", "loading"]
