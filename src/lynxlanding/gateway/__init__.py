"""HTTP servers and WSGI applications for callers and other nodes."""
