"""Replica groups: placement, repair, fencing and serving evidence."""
