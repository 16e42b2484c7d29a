"""Load and experiment tool, history checker and scenarios."""
