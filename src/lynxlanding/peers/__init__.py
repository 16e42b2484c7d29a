"""Load reports between nodes."""
