"""Clients of the platform's object API, VM list and weight store."""

from lynxlanding.store import (
    http_store,
    memory_store,
    object_store,
    stored_object,
    vm,
    vm_list,
    watch_batch,
    weight_store,
)

__all__ = [
    "http_store",
    "memory_store",
    "object_store",
    "stored_object",
    "vm",
    "vm_list",
    "watch_batch",
    "weight_store",
]
