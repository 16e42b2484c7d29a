"""Endpoints that have ended, and what their requests have in common."""
