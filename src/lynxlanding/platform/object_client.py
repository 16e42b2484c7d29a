"""``ObjectStore`` implementation over the HTTP object API of the platform's metadata store."""

import json
import threading
import urllib.parse

import eliot
import urllib3

from lynxlanding.errors import platform as platform_errors
from lynxlanding.platform import fields, sockets
from lynxlanding.store import (
    call_counter,
    era_tracker,
    http_call,
    store_version,
    stored_object,
    watch_batch_builder,
)
from lynxlanding.transport import guarded_connection, json_document

# Connecting takes a few milliseconds; after a second the store is considered unavailable.
CONNECT_TIMEOUT_S = 1.0
# The store responds within a few milliseconds, or a few hundred when it is slow.
READ_TIMEOUT_S = 1.5
# Added to the duration of a long poll to obtain its read timeout.
WATCH_MARGIN_S = 0.8
# Pages have about 1 MB. What has changed between two watches can be several values of that size.
MAX_BODY_BYTES = 32 << 20
# A large page takes longer than a response without one.
BODY_TIMEOUT_S = 3.0

OBJECT_SKIPPED = "lynxlanding:store:object_skipped"

_ERA_HEADER = "Store-Era"

_Operation = call_counter.Operation

_METHODS = {
    _Operation.GET: "GET",
    _Operation.LIST: "GET",
    _Operation.STALE_LIST: "GET",
    _Operation.WATCH: "GET",
    _Operation.CREATE: "POST",
    _Operation.UPDATE: "PUT",
    _Operation.DELETE: "DELETE",
}

_ERRORS_BY_STATUS = {
    404: platform_errors.ObjectNotFound,
    410: platform_errors.WatchExpired,
    413: platform_errors.ValueTooLarge,
    429: platform_errors.StoreRateLimited,
    503: platform_errors.StoreUnavailable,
}


class PlatformObjectStore:
    """Client of the platform's object API.

    Parameters
    ----------
    address : str
        ``host:port`` of the API.
    counter : CallCounter, optional
        Counts the calls.
    """

    def __init__(self, address, counter=None):
        self._counter = counter or call_counter.CallCounter()
        self._base_url = f"http://{address}/v1/objects"
        self._pool = guarded_connection.make_pool_manager(
            MAX_BODY_BYTES,
            BODY_TIMEOUT_S,
            maxsize=8,
            block=False,
            socket_options=sockets.OPTIONS,
            retries=False,
        )
        self._eras = era_tracker.EraTracker()
        self._is_unavailable = False

    @property
    def era(self):
        """Era of the store as of its last response; None before the first response."""
        return self._eras.current

    @property
    def is_unavailable(self):
        """Whether the store has refused or not answered the last call.

        A write without an answer does not count, because such an answer can be lost alone.
        """
        return self._is_unavailable

    def get(self, kind, name):
        """Return an object; raises ``ObjectNotFound``."""
        document, era = self._call(_Operation.GET, kind, f"/{name}")
        return _decode_object(kind, document, era)

    def list(self, kind, *, may_be_stale=False):
        """Return all objects of a kind and the store version to watch from.

        A list that may be stale costs the store less.
        """
        operation = _Operation.STALE_LIST if may_be_stale else _Operation.LIST
        items = []
        version = None
        last_name = None
        while True:
            parameters = []
            if may_be_stale:
                parameters.append("allow_stale=1")
            if last_name is not None:
                # Despite its name, the parameter takes the last object name of the previous page.
                parameters.append(f"since_rev={urllib.parse.quote(last_name, safe='')}")
            query_string = "?" + "&".join(parameters) if parameters else ""
            page, era = self._call(operation, kind, query_string)
            if version is None:
                # A watch from the first page's version also returns changes made between two pages.
                revision = fields.require(page, "current_rev", int)
                version = store_version.StoreVersion(era, revision)
            if era != version.era:
                raise platform_errors.StoreRolledBack(f"the list of {kind} spans two eras")
            names_before = len(items)
            for document in fields.require(page, "items", list):
                item = _try_decode_object(kind, document, era)
                if item is not None:
                    items.append(item)
            if not fields.require(page, "has_more", bool):
                return items, version
            if len(items) == names_before:
                raise platform_errors.MalformedPlatformResponse(
                    f"the list of {kind} goes on after a page without readable objects"
                )
            last_name = items[-1].name

    def create(self, kind, name, value):
        """Create an object; raises ``ObjectExists`` or ``ValueTooLarge``."""
        document = {"metadata": {"name": name}, "spec": value}
        response, era = self._call(
            _Operation.CREATE,
            kind,
            f"/{name}",
            document,
            conflict_error=platform_errors.ObjectExists,
        )
        return _decode_object(kind, response, era)

    def update(self, kind, name, value, version):
        """Replace the value if ``version`` is current; raises ``VersionConflict``."""
        document = {"metadata": {"name": name, "revision": version.revision}, "spec": value}
        response = self._call_in_era(version.era, _Operation.UPDATE, kind, f"/{name}", document)
        return _decode_object(kind, response, version.era)

    def delete(self, kind, name, version):
        """Delete the object if ``version`` is current; raises ``VersionConflict``."""
        path = f"/{name}?revision={version.revision}"
        self._call_in_era(version.era, _Operation.DELETE, kind, path)

    def watch(self, kind, after, timeout_s):
        """Wait up to ``timeout_s`` seconds for changes since version ``after``.

        Raises ``WatchExpired`` if the store no longer keeps that version.
        """
        wait_ms = int(timeout_s * 1000)
        path = f"?watch={after.revision}&wait_ms={wait_ms}"
        response = self._call_in_era(
            after.era, _Operation.WATCH, kind, path, read_timeout_s=timeout_s + WATCH_MARGIN_S
        )
        builder = watch_batch_builder.WatchBatchBuilder()
        for event in fields.require(response, "events", list):
            change = _try_decode_event(kind, event, after.era)
            if change is None:
                continue
            item, is_deleted = change
            if is_deleted:
                builder.delete(item.name)
                continue
            builder.put(item)
        revision = fields.require(response, "current_rev", int)
        return builder.build(store_version.StoreVersion(after.era, revision))

    def _call_in_era(self, era, operation, kind, path, document=None, **options):
        """Send a call that refers to a revision of an era and return the decoded response.

        Raises ``StoreRolledBack`` if the store is in another era, before or after the call.
        """
        if self.era is not None and era != self.era:
            raise platform_errors.StoreRolledBack(f"{operation} {kind}{path}: era {era} has ended")
        response, response_era = self._call(operation, kind, path, document, **options)
        if response_era != era:
            raise platform_errors.StoreRolledBack(f"{operation} {kind}{path}: era {era} has ended")
        return response

    def _call(
        self,
        operation,
        kind,
        path,
        document=None,
        *,
        conflict_error=platform_errors.VersionConflict,
        read_timeout_s=READ_TIMEOUT_S,
    ):
        """Send a call and count it; return the decoded response and the era of the store.

        ``path`` follows the kind: the name of an object, a query string or both.
        """
        caller = threading.current_thread().name
        try:
            answer = self._send(operation, kind, path, document, conflict_error, read_timeout_s)
        except platform_errors.PlatformError as e:
            self._counter.record(kind, operation, e.type_name, caller)
            raise
        self._counter.record(kind, operation, call_counter.OK, caller)
        return answer

    def _send(self, operation, kind, path, document, conflict_error, read_timeout_s):
        method = _METHODS[operation]
        era_at_call = self.era
        body = None
        headers = {}
        if document is not None:
            body = json.dumps(document).encode()
            headers["Content-Type"] = "application/json"
        try:
            response = http_call.send(
                self._pool,
                method,
                f"{self._base_url}/{kind}{path}",
                body=body,
                headers=headers,
                timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=read_timeout_s),
                is_write=method != "GET",
                errors_by_status={**_ERRORS_BY_STATUS, 409: conflict_error},
                on_headers=lambda headers: self._eras.record(_decode_era(headers), era_at_call),
            )
        except platform_errors.StoreUnavailable:
            self._is_unavailable = True
            raise
        except platform_errors.StoreOutcomeUnknown:
            raise
        except platform_errors.PlatformError:
            # The store has answered, if only with an error.
            self._is_unavailable = False
            raise
        self._is_unavailable = False
        return response or {}, self.era


def _decode_era(headers):
    """Return the era that a response states, or None if it states no valid one."""
    value = headers.get(_ERA_HEADER, "")
    return int(value) if value.isascii() and value.isdigit() else None


def _try_decode_object(kind, document, era):
    """Return an object of a list or an event; None if it does not say which one it is."""
    try:
        return _decode_object(kind, document, era)
    except platform_errors.MalformedEntry as e:
        eliot.log_message(message_type=OBJECT_SKIPPED, kind=kind, reason=str(e))
        return None


def _try_decode_event(kind, event, era):
    """Return the object of an event and whether it was deleted; None if it cannot be read."""
    try:
        item = _decode_object(kind, fields.require(event, "object", dict), era)
        return item, fields.get(event, "tombstone", bool, False)
    except platform_errors.MalformedEntry as e:
        eliot.log_message(message_type=OBJECT_SKIPPED, kind=kind, reason=str(e))
        return None


def _decode_object(kind, document, era):
    """Return an object, without its value if this cannot be read."""
    metadata = fields.require(document, "metadata", dict)
    name = fields.require(metadata, "name", str)
    if not json_document.is_readable(name):
        raise platform_errors.MalformedEntry("the name cannot be read")
    value = document.get("spec")
    return stored_object.StoredObject(
        kind,
        name,
        store_version.StoreVersion(era, fields.require(metadata, "revision", int)),
        value if json_document.is_readable(value) else None,
    )
