"""WSGI applications for callers and peers."""
