"""Kinds and names of the store objects that hold the accepted configuration."""

PARTS = "config-parts"
REVISIONS = "config-revisions"
HEADS = "config-head"
CURRENT = "current"
