"""The platform's metadata store as an ``ObjectStore``."""

import json

import urllib3

from lynxlanding.errors import platform as platform_errors
from lynxlanding.platform import fields, sockets
from lynxlanding.store import http_call, stored_object, watch_batch

# Connecting takes a few milliseconds; after a second the store is away.
CONNECT_TIMEOUT_S = 1.0
# The store answers in milliseconds, or in a few hundred when it is slow.
READ_TIMEOUT_S = 1.5
# A long poll is given up this long after its answer is due.
WATCH_MARGIN_S = 0.8

_REFUSALS = {
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
    """

    def __init__(self, address):
        self._url = f"http://{address}/v1/objects"
        self._pool = urllib3.PoolManager(
            maxsize=8, block=False, socket_options=sockets.OPTIONS, retries=False
        )

    def get(self, kind, name):
        """Return an object; raises ``ObjectNotFound``."""
        return _decode_object(kind, self._call("GET", f"/{kind}/{name}"))

    def list(self, kind, *, may_be_stale=False):
        """Return all objects of a kind and the store version to watch from."""
        items = []
        version = None
        after = None
        while True:
            query = []
            if may_be_stale:
                query.append("allow_stale=1")
            if after is not None:
                # The wire calls it a revision; it is the last name of the page before.
                query.append(f"since_rev={after}")
            suffix = "?" + "&".join(query) if query else ""
            page = self._call("GET", f"/{kind}{suffix}")
            if version is None:
                # Changes between two pages are seen again by a watch from the first one.
                version = fields.require(page, "current_rev", int)
            for document in fields.require(page, "items", list):
                items.append(_decode_object(kind, document))
            if not fields.get(page, "has_more", bool, False) or not items:
                return items, version
            after = items[-1].name

    def create(self, kind, name, value):
        """Create an object; raises ``ObjectExists`` or ``ValueTooLarge``."""
        document = {"metadata": {"name": name}, "spec": value}
        answer = self._call(
            "POST", f"/{kind}/{name}", document, conflict=platform_errors.ObjectExists
        )
        return _decode_object(kind, answer)

    def update(self, kind, name, value, version):
        """Replace the value if ``version`` is current; raises ``VersionConflict``."""
        document = {"metadata": {"name": name, "revision": version}, "spec": value}
        return _decode_object(kind, self._call("PUT", f"/{kind}/{name}", document))

    def delete(self, kind, name, version):
        """Delete the object if ``version`` is current; raises ``VersionConflict``."""
        self._call("DELETE", f"/{kind}/{name}?revision={version}")

    def watch(self, kind, after, timeout_s):
        """Wait up to ``timeout_s`` seconds for changes; raises ``WatchExpired``."""
        wait_ms = int(timeout_s * 1000)
        path = f"/{kind}?watch={after}&wait_ms={wait_ms}"
        answer = self._call("GET", path, read_timeout_s=timeout_s + WATCH_MARGIN_S)
        puts = []
        deletes = []
        for event in fields.require(answer, "events", list):
            item = _decode_object(kind, fields.require(event, "object", dict))
            if fields.get(event, "tombstone", bool, False):
                deletes.append(item.name)
                continue
            puts.append(item)
        version = fields.require(answer, "current_rev", int)
        return watch_batch.WatchBatch(puts, deletes, version)

    def _call(
        self,
        method,
        path,
        document=None,
        *,
        conflict=platform_errors.VersionConflict,
        read_timeout_s=READ_TIMEOUT_S,
    ):
        body = None
        headers = {}
        if document is not None:
            body = json.dumps(document).encode()
            headers["Content-Type"] = "application/json"
        answer = http_call.send(
            self._pool,
            method,
            self._url + path,
            body=body,
            headers=headers,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=read_timeout_s),
            is_change=method != "GET",
            refusals={**_REFUSALS, 409: conflict},
        )
        return answer or {}


def _decode_object(kind, document):
    metadata = fields.require(document, "metadata", dict)
    return stored_object.StoredObject(
        kind,
        fields.require(metadata, "name", str),
        fields.require(metadata, "revision", int),
        document.get("spec"),
    )
