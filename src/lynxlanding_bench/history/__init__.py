"""Histories of runs, written by callers and stand-ins, and their checker."""

from lynxlanding_bench.history import checker, history, reading, recorder, violation

__all__ = ["checker", "history", "reading", "recorder", "violation"]
