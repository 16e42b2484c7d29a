"""Stand-ins for the outside systems; the daemon never imports this package."""
