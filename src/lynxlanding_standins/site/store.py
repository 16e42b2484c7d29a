"""The platform's metadata store in its objects form."""

import asyncio
import json
import urllib.parse

from lynxlanding_standins import asgi

PAGE = 50
HISTORY = 2000
PREFIX = "/v1/objects/"


class SiteStore:
    """Objects by kind and name, with one revision counter and watches.

    Attributes
    ----------
    fault : str
        ``""``, ``"busy"`` (503) or ``"silent"`` (no answer).
    lost_answers : int
        Writes that are still to be carried out without an answer.
    silent_watch_hosts : set of str
        Hosts whose callers get no answers to watches, as on connections that have gone silent.
    refused_hosts : set of str
        Hosts whose callers are refused (503).
    raw_values : dict of str to str
        JSON texts by the string that stands for them in a value, for what cannot be encoded.
    """

    def __init__(self):
        self._objects = {}
        self._revision = 1
        self._events = []
        self._changed = asyncio.Event()
        self._era = 1
        self._copy = None
        self.fault = ""
        self.lost_answers = 0
        self.silent_watch_hosts = set()
        self.refused_hosts = set()
        self.raw_values = {}
        self.calls = 0

    def put(self, kind, name, spec, ignored_field=None):
        """Write an object as another writer than the system does.

        A write that changes nothing, or nothing but ``ignored_field``, has no effect.
        """
        known = self._objects.get((kind, name))
        if known is not None:
            unchanged = spec
            if ignored_field in spec:
                unchanged = {**spec, ignored_field: known["spec"].get(ignored_field)}
            if known["spec"] == unchanged:
                return
        self._write(kind, name, spec, known)

    def remove(self, kind, name):
        """Remove an object if it exists."""
        known = self._objects.pop((kind, name), None)
        if known is not None:
            self._revision += 1
            self._note(kind, known, True)

    def save_copy(self):
        """Keep a copy of all objects, to which ``roll_back`` returns."""
        self._copy = (dict(self._objects), self._revision)

    def roll_back(self):
        """Return to the copy; revisions are given out again and all history is gone."""
        self._objects, self._revision = dict(self._copy[0]), self._copy[1]
        self._events = []
        self._era += 1
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(self, scope, receive, send):
        """Serve one call."""
        self.calls += 1
        body = await asgi.read_body(receive)
        if self.fault == "silent":
            await asyncio.sleep(60)
        if self.fault == "busy" or scope["server"][0] in self.refused_hosts:
            await asgi.send_json(send, 503, {}, self._headers())
            return
        kind, _, name = scope["path"][len(PREFIX) :].partition("/")
        query = dict(urllib.parse.parse_qsl(scope["query_string"].decode()))
        method = scope["method"]
        if method == "GET":
            status, document = await self._read(kind, name, query)
            if "watch" in query and scope["server"][0] in self.silent_watch_hosts:
                await asyncio.sleep(60)
        else:
            document = json.loads(body) if body else {}
            status, document = self._change(method, kind, name, document, query)
            if self.lost_answers > 0 and status == 200:
                self.lost_answers -= 1
                await asyncio.sleep(60)
        text = json.dumps(document)
        for mark, raw in self.raw_values.items():
            text = text.replace(json.dumps(mark), raw)
        body = text.encode("utf-8", "surrogateescape")
        await asgi.send_body(send, status, body, self._headers())

    def _headers(self):
        return [(b"store-era", str(self._era).encode())]

    async def _read(self, kind, name, query):
        if name:
            known = self._objects.get((kind, name))
            return (404, {}) if known is None else (200, known)
        if "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query.get("wait_ms", 0)))
        names = sorted(key[1] for key in self._objects if key[0] == kind)
        after = query.get("since_rev")
        if after is not None:
            names = [item for item in names if item > after]
        items = [self._objects[(kind, item)] for item in names[:PAGE]]
        return 200, {"items": items, "has_more": len(names) > PAGE, "current_rev": self._revision}

    async def _watch(self, kind, after, wait_ms):
        if self._events and after < self._events[0][0] - 1 and len(self._events) >= HISTORY:
            return 410, {}
        era = self._era
        end = asyncio.get_running_loop().time() + wait_ms / 1000
        while True:
            if after > self._revision or era != self._era:
                return 410, {}
            found = [item for item in self._events if item[0] > after and item[1] == kind]
            left = end - asyncio.get_running_loop().time()
            if found or left <= 0:
                events = [{"object": item[2], "tombstone": item[3]} for item in found]
                return 200, {"events": events, "current_rev": self._revision}
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue

    def _change(self, method, kind, name, document, query):
        known = self._objects.get((kind, name))
        expected = document.get("metadata", {}).get("revision") or query.get("revision")
        if method == "POST":
            if known is not None:
                return 409, known
            return 200, self._write(kind, name, document.get("spec"), None)
        if known is None:
            return 404, {}
        if expected is not None and int(expected) != known["metadata"]["revision"]:
            return 409, known
        if method == "DELETE":
            self.remove(kind, name)
            return 200, known
        if document.get("spec") == known["spec"]:
            return 200, known
        return 200, self._write(kind, name, document.get("spec"), known)

    def _write(self, kind, name, spec, known):
        self._revision += 1
        created = self._revision if known is None else known["metadata"]["create_rev"]
        written = {
            "metadata": {
                "name": name,
                "revision": self._revision,
                "create_rev": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self._objects[(kind, name)] = written
        self._note(kind, written, False)
        return written

    def _note(self, kind, written, is_tombstone):
        self._events.append((self._revision, kind, written, is_tombstone))
        del self._events[:-HISTORY]
        self._changed.set()
        self._changed = asyncio.Event()
