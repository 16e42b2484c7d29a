"""Interface of the platform's object API."""

from typing import Any, Protocol

from lynxlanding.store import stored_object, watch_batch

MAX_VALUE_BYTES = 1_000_000


class ObjectStore(Protocol):
    """Versioned objects with conditional updates and watches.

    Every call may raise ``errors.platform.StoreUnavailable`` if nothing was changed. Calls that
    change the store may raise ``errors.platform.StoreOutcomeUnknown`` if the change may have taken
    effect. Versions are opaque: they are only handed back to the store that returned them.

    A store may come back from an older copy and thereby start a new era. Versions of an earlier era
    are then refused with ``errors.platform.StoreRolledBack``; a change that was sent at that moment
    may have taken effect.
    """

    @property
    def era(self) -> int | None:
        """Era of the store as of its last response; None before the first response."""
        ...

    def get(self, kind: str, name: str) -> stored_object.StoredObject:
        """Return an object; raises ``ObjectNotFound``."""
        ...

    def list(
        self, kind: str, *, may_be_stale: bool = False
    ) -> tuple[list[stored_object.StoredObject], int]:
        """Return all objects of a kind and the store version to watch from.

        A list that may be stale costs less if the store supports it; other stores return a current
        list.
        """
        ...

    def create(self, kind: str, name: str, value: Any) -> stored_object.StoredObject:
        """Create an object; raises ``ObjectExists`` or ``ValueTooLarge``."""
        ...

    def update(self, kind: str, name: str, value: Any, version: int) -> stored_object.StoredObject:
        """Replace the value if ``version`` is current; raises ``VersionConflict``."""
        ...

    def delete(self, kind: str, name: str, version: int) -> None:
        """Delete the object if ``version`` is current; raises ``VersionConflict``."""
        ...

    def watch(self, kind: str, after: int, timeout_s: float) -> watch_batch.WatchBatch:
        """Wait up to ``timeout_s`` seconds for changes after version ``after``.

        Raises ``WatchExpired`` if the store no longer keeps these changes.
        """
        ...
