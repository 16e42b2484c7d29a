"""Clients of the platform's object API, VM list and weight store."""

from lynxlanding.store import (
    call_counter,
    era_tracker,
    http_store,
    memory_store,
    object_store,
    store_version,
    stored_object,
    vm,
    vm_list,
    watch_batch,
    watch_batch_builder,
    weight_store,
)

__all__ = [
    "call_counter",
    "era_tracker",
    "http_store",
    "memory_store",
    "object_store",
    "store_version",
    "stored_object",
    "vm",
    "vm_list",
    "watch_batch",
    "watch_batch_builder",
    "weight_store",
]
