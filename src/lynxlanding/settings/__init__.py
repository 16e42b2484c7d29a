"""Settings files in YAML, validated with pydantic."""

from lynxlanding.settings import daemon_settings, loading

__all__ = ["daemon_settings", "loading"]
