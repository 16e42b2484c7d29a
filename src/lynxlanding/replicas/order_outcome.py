"""Outcomes of orders."""

BEGUN = "begun"
ALREADY_DONE = "already_done"
# The order does not fit the engine's state.
CONFLICT = "conflict"
# The engine has seen a later epoch or fencing number.
STALE = "stale"
WRONG_ENDPOINT = "wrong_endpoint"
REFUSED = "refused"
# No response: the order may take effect now, later or never.
UNKNOWN = "unknown"
UNREACHABLE = "unreachable"
