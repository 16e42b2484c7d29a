"""Interface of the receivers of followed objects."""

from typing import Protocol

from lynxlanding.store import stored_object


class FollowerHandler(Protocol):
    """Receives a kind's objects as they change."""

    def on_list(
        self, objects: list[stored_object.StoredObject], version: int, now: float, was_outage: bool
    ) -> None:
        """Replace everything known."""
        ...

    def on_changes(
        self,
        puts: list[stored_object.StoredObject],
        deletes: list[str],
        now: float,
        was_outage: bool,
    ) -> None:
        """Apply changes."""
        ...

    def on_lost(self) -> None:
        """Record that the store does not answer."""
        ...
