"""HTTP paths that the platform requests from a node."""

READY = "/v1/ready"
