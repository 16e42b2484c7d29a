"""Requests that this node cannot send, because it reaches no endpoint, go to another node."""
