"""Scopes of published entries: the local data centre (``place``) or all nodes (``wide``)."""

PLACE = "place"
WIDE = "wide"
ALL = (PLACE, WIDE)
