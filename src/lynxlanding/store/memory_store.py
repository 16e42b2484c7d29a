"""In-memory object store with fault injection, for tests."""

import copy
import dataclasses

from lynxlanding.errors import platform as platform_errors
from lynxlanding.store import store_version, stored_object, watch_batch_builder


class MemoryObjectStore:
    """In-memory ``ObjectStore`` with fault injection.

    Attributes
    ----------
    unavailable : bool
        If True, every call raises ``StoreUnavailable``.
    responses_to_lose : int
        Number of subsequent changes that take effect but raise ``StoreOutcomeUnknown``.
    call_counts : dict of str to int
        Number of calls by method name, including failed ones.
    """

    def __init__(self):
        self.unavailable = False
        self.responses_to_lose = 0
        self.call_counts = {}
        self._objects = {}
        self._change_log = []
        self._revision = 0
        self._era = 0
        self._copies = []

    @property
    def era(self):
        """Era of the store; increases with each ``roll_back``."""
        return self._era

    @property
    def _version(self):
        return store_version.StoreVersion(self._era, self._revision)

    def save_copy(self):
        """Keep a copy of all objects, to which ``roll_back`` returns."""
        self._copies.append((copy.deepcopy(self._objects), self._revision))

    def roll_back(self):
        """Return to the latest copy and start a new era; revisions are given out again."""
        self._objects, self._revision = self._copies.pop()
        self._change_log = []
        self._era += 1
        for key, item in list(self._objects.items()):
            version = store_version.StoreVersion(self._era, item.version.revision)
            self._objects[key] = dataclasses.replace(item, version=version)

    def get(self, kind, name):
        """Return an object; raises ``ObjectNotFound``."""
        self._record_call("get")
        stored = self._objects.get((kind, name))
        if stored is None:
            raise platform_errors.ObjectNotFound(f"{kind}/{name}")
        return copy.deepcopy(stored)

    def list(self, kind, *, may_be_stale=False):
        """Return all objects of a kind and the store version."""
        # Lists are always current here, so the parameter has no effect.
        del may_be_stale
        self._record_call("list")
        items = []
        for (item_kind, _), item in sorted(self._objects.items()):
            if item_kind == kind:
                items.append(copy.deepcopy(item))
        return items, self._version

    def create(self, kind, name, value):
        """Create an object; raises ``ObjectExists``."""
        self._record_call("create")
        if (kind, name) in self._objects:
            raise platform_errors.ObjectExists(f"{kind}/{name}")
        return self._store_value(kind, name, value)

    def update(self, kind, name, value, version):
        """Replace the value if ``version`` is current; raises ``VersionConflict``."""
        self._record_call("update")
        self._check_version(kind, name, version)
        return self._store_value(kind, name, value)

    def delete(self, kind, name, version):
        """Delete the object if ``version`` is current; raises ``VersionConflict``."""
        self._record_call("delete")
        self._check_version(kind, name, version)
        del self._objects[(kind, name)]
        self._revision += 1
        self._change_log.append((self._version, kind, name, None))
        self._finish_change()

    def watch(self, kind, after, timeout_s):
        """Return the changes after version ``after`` without waiting."""
        self._record_call("watch")
        self._check_era(after)
        builder = watch_batch_builder.WatchBatchBuilder()
        for version, item_kind, name, item in self._change_log:
            if version <= after or item_kind != kind:
                continue
            if item is None:
                builder.delete(name)
                continue
            builder.put(copy.deepcopy(item))
        return builder.build(self._version)

    def _record_call(self, method):
        self.call_counts[method] = self.call_counts.get(method, 0) + 1
        if self.unavailable:
            raise platform_errors.StoreUnavailable("the store is unavailable")

    def _check_era(self, version):
        if version.era != self._era:
            raise platform_errors.StoreRolledBack(f"version {version} is of an earlier era")

    def _check_version(self, kind, name, version):
        self._check_era(version)
        stored = self._objects.get((kind, name))
        if stored is None:
            raise platform_errors.ObjectNotFound(f"{kind}/{name}")
        if stored.version != version:
            raise platform_errors.VersionConflict(f"{kind}/{name} is at version {stored.version}")

    def _store_value(self, kind, name, value):
        self._revision += 1
        item = stored_object.StoredObject(kind, name, self._version, copy.deepcopy(value))
        self._objects[(kind, name)] = item
        self._change_log.append((self._version, kind, name, item))
        self._finish_change()
        return copy.deepcopy(item)

    def _finish_change(self):
        if self.responses_to_lose > 0:
            self.responses_to_lose -= 1
            raise platform_errors.StoreOutcomeUnknown("the store's answer was lost")
