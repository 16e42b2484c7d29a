"""Registry of the endpoints in the platform's store."""

from lynxlanding.fleet import endpoint_change, endpoint_record, group_membership, registry

__all__ = ["endpoint_change", "endpoint_record", "group_membership", "registry"]
