"""Leaving endpoints and planned stops."""
