"""A node in front of the users' platform: listeners, followers and life cycle."""
