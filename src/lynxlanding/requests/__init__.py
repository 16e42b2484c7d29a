"""Request identity, claims, attempts and the stream relay."""
