"""Failure classification and the retry budget."""
