"""Outcomes of orders sent to engines."""

# The engine has accepted the order and started to carry it out.
BEGUN = "begun"
ALREADY_DONE = "already_done"
# The engine's state does not permit the order.
CONFLICT = "conflict"
# The engine has already seen a later epoch or fencing number.
STALE = "stale"
# Another endpoint uses the address by now.
WRONG_ENDPOINT = "wrong_endpoint"
REFUSED = "refused"
# No response was received: the order may take effect now, later or never.
UNKNOWN = "unknown"
# No connection could be opened, so the order was not delivered.
UNREACHABLE = "unreachable"
# Not sent, because the engine reports another group, or not how many orders it has accepted.
WITHHELD = "withheld"
