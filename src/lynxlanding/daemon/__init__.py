"""Composition and life cycle of the node process."""
