"""Days of the stand-in site: nodes as processes, callers, faults and the checks of rules."""
