"""Wiring and life cycle of the node process."""
