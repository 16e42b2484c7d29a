"""Interface of the handlers of watched objects."""

from typing import Protocol

from lynxlanding.store import stored_object


class WatchHandler(Protocol):
    """Receives the objects of one kind and their changes.

    ``version`` is the version of the store that the objects or changes lead to. ``now`` is the time
    of the store's response, in monotonic seconds. ``was_outage`` tells whether the store was
    unavailable before this response for long enough to count as an outage.
    """

    def on_list(
        self, objects: list[stored_object.StoredObject], version: int, now: float, was_outage: bool
    ) -> None:
        """Replace all known objects by a complete list."""
        ...

    def on_changes(
        self,
        puts: list[stored_object.StoredObject],
        deletes: list[str],
        version: int,
        now: float,
        was_outage: bool,
    ) -> None:
        """Apply the changes of one watch call."""
        ...

    def on_store_rolled_back(self) -> None:
        """Record that the next list comes from an older copy of the store."""
        ...

    def on_store_unavailable(self) -> None:
        """Record that the store is unavailable."""
        ...
