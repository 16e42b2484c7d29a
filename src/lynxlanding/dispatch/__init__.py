"""Routing, refusal and forwarding of requests in front of replica groups."""
