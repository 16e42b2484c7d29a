"""How far a published entry is disseminated."""

PLACE = "place"
WIDE = "wide"
ALL = (PLACE, WIDE)
