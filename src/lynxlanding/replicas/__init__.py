"""Replica groups on the users' engines: plans, placement and orders."""
