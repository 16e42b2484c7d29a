"""Admission queue, deadlines and workspace shares."""
