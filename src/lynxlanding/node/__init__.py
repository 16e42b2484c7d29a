"""Node process for the VM platform: HTTP servers, store watchers and life cycle."""
