"""Kinds and names of the store objects of the configuration."""

PARTS = "config-parts"
REVISIONS = "config-revisions"
HEADS = "config-head"
CURRENT = "current"
