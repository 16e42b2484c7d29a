"""Client of the platform's object API over HTTP."""

import json

import urllib3

from lynxlanding.errors import platform as platform_errors
from lynxlanding.store import http_call, object_store, stored_object, watch_batch_builder

CONNECT_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 5.0
# Added to the duration of a long poll to obtain its read timeout.
WATCH_MARGIN_S = 5.0

_ERRORS_BY_STATUS = {
    404: platform_errors.ObjectNotFound,
    409: platform_errors.ObjectExists,
    410: platform_errors.WatchExpired,
    412: platform_errors.VersionConflict,
    413: platform_errors.ValueTooLarge,
    429: platform_errors.StoreRateLimited,
    503: platform_errors.StoreUnavailable,
}


class HttpObjectStore:
    """``ObjectStore`` over the platform's HTTP API.

    Parameters
    ----------
    url : str
        Base URL of the object API.
    pool : urllib3.PoolManager
        Connection pool. Calls are not retried, since only callers of this class know whether a
        retry is safe.
    """

    def __init__(self, url, pool):
        self._url = url.rstrip("/")
        self._pool = pool

    @property
    def era(self):
        """Always 0: this API never returns to an older copy of its objects."""
        return 0

    def get(self, kind, name):
        """Return an object; raises ``ObjectNotFound``."""
        return _decode_object(self._call("GET", f"/objects/{kind}/{name}", is_write=False))

    def list(self, kind, *, may_be_stale=False):
        """Return all objects of a kind and the store version to watch from."""
        # Lists are always current here, so the parameter has no effect.
        del may_be_stale
        response = self._call("GET", f"/objects/{kind}", is_write=False)
        items = []
        for item in response["items"]:
            items.append(_decode_object(item))
        return items, response["version"]

    def create(self, kind, name, value):
        """Create an object; raises ``ObjectExists`` or ``ValueTooLarge``."""
        return _decode_object(self._call("POST", f"/objects/{kind}/{name}", value))

    def update(self, kind, name, value, version):
        """Replace the value if ``version`` is current; raises ``VersionConflict``."""
        return _decode_object(self._call("PUT", f"/objects/{kind}/{name}", value, version))

    def delete(self, kind, name, version):
        """Delete the object if ``version`` is current; raises ``VersionConflict``."""
        self._call("DELETE", f"/objects/{kind}/{name}", None, version)

    def watch(self, kind, after, timeout_s):
        """Wait up to ``timeout_s`` seconds for changes after ``after``; raises ``WatchExpired``."""
        path = f"/watch/{kind}?after={after}&timeout_ms={int(timeout_s * 1000)}"
        response = self._call(
            "GET", path, is_write=False, read_timeout_s=timeout_s + WATCH_MARGIN_S
        )
        builder = watch_batch_builder.WatchBatchBuilder()
        for event in response["events"]:
            if event["type"] == "delete":
                builder.delete(event["name"])
                continue
            builder.put(_decode_object(event))
        return builder.build(response["version"])

    def _call(
        self,
        method,
        path,
        value=None,
        version=None,
        *,
        is_write=True,
        read_timeout_s=READ_TIMEOUT_S,
    ):
        headers = {}
        body = None
        if value is not None:
            body = json.dumps(value).encode()
            headers["Content-Type"] = "application/json"
            if len(body) > object_store.MAX_VALUE_BYTES:
                raise platform_errors.ValueTooLarge(f"{path}: {len(body)} bytes")
        if version is not None:
            headers["If-Match"] = str(version)
        return http_call.send(
            self._pool,
            method,
            self._url + path,
            body=body,
            headers=headers,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=read_timeout_s),
            is_write=is_write,
            errors_by_status=_ERRORS_BY_STATUS,
        )


def _decode_object(document):
    try:
        return stored_object.StoredObject(
            document["kind"], document["name"], document["version"], document["value"]
        )
    except (KeyError, TypeError) as e:
        raise platform_errors.MalformedPlatformResponse(f"object without field {e}") from e
