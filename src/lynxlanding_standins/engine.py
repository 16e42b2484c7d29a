"""Stand-in for model engines: one process serves one engine a port."""

import asyncio
import collections
import json
import time

import xxhash

from lynxlanding_standins import asgi, engine_state

DEFAULT_TOKENS = 16


class EngineApp:
    """ASGI application of all engines of the process; the port tells them apart.

    Parameters
    ----------
    states : dict of int to EngineState
        Engines by port.
    token_interval_s : float
        Time between tokens.
    prefill_s : float
        Time to the first token without a cache hit; a quarter of it with one.
    load_s : float
        Time to load a model.
    report_lag_s : float
        Age of the load reports and cache events that are served.
    history : HistoryFile
        Receives what each engine ran.
    """

    def __init__(self, states, token_interval_s, prefill_s, load_s, report_lag_s, history):
        self._states = states
        self._token_interval_s = token_interval_s
        self._prefill_s = prefill_s
        self._load_s = load_s
        self._lag_s = report_lag_s
        self._history = history
        self._reports = {port: collections.deque() for port in states}

    async def __call__(self, scope, receive, send):
        """Serve one request."""
        if scope["type"] != "http":
            return
        state = self._states[scope["server"][1]]
        path = scope["path"]
        if path == "/faults":
            faults = json.loads(await asgi.read_body(receive))
            for name in ("down", "stall", "token_delay_factor"):
                if name in faults:
                    setattr(state, name, faults[name])
            await asgi.send_json(send, 200, {})
            return
        if state.down:
            await _break_connection(send)
            return
        if path in ("/v1/chat/completions", "/v1/completions"):
            await self._complete(state, scope, receive, send)
            return
        if path == "/load":
            await asgi.send_json(send, 200, self._lagging_report(scope["server"][1], state))
            return
        if path == "/cache/events":
            after = int((scope["query_string"] or b"after=0").split(b"=")[1])
            events = [event for event in state.cache_events if event["sequence"] > after]
            last = events[-1]["sequence"] if events else after
            await asgi.send_json(send, 200, {"events": events, "sequence": last})
            return
        if path == "/orders":
            await self._order(state, receive, send, scope["server"][1])
            return
        if path == "/healthz":
            await asgi.send_json(send, 200, {"instance": state.instance})
            return
        await asgi.send_json(send, 404, {"error": {"type": "not_found"}})

    def _lagging_report(self, port, state):
        now = time.monotonic()
        reports = self._reports[port]
        reports.append((now, {**state.report(), "reported_at": time.time()}))
        while len(reports) > 1 and reports[1][0] <= now - self._lag_s:
            reports.popleft()
        return reports[0][1]

    async def _order(self, state, receive, send, port):
        order = json.loads(await asgi.read_body(receive))
        self._history.record(
            "order",
            engine=port,
            order=order.get("order"),
            fencing_number=order.get("fencing_number"),
            group=order.get("group"),
            epoch=order.get("epoch"),
        )
        if order["order"] == "load" and order.get("model") != state.model:
            await asyncio.sleep(self._load_s)
        if not state.apply_order(order):
            await asgi.send_json(send, 409, {"error": {"type": "stale_fencing_number"}})
            return
        await asgi.send_json(send, 200, state.report())

    async def _complete(self, state, scope, receive, send):
        headers = {name.decode(): value.decode() for name, value in scope["headers"]}
        body = json.loads(await asgi.read_body(receive))
        identity = [
            (b"x-request-id", headers.get("x-request-id", "").encode()),
            (b"x-attempt-id", headers.get("x-attempt-id", "").encode()),
        ]
        if state.draining or state.queued >= state.queue_limit:
            refusal = [*identity, (b"x-executed", b"no"), (b"retry-after", b"1")]
            await asgi.send_json(send, 503, {"error": {"type": "refused"}}, refusal)
            return
        request = _CompletionRequest(headers, body, scope["path"].startswith("/v1/chat"))
        request.endpoint = "{}:{}".format(*scope["server"])
        task = asyncio.ensure_future(self._generate(state, request, identity, send))
        # A closed connection cancels the generation and frees the slot.
        watcher = asyncio.ensure_future(_wait_for_disconnect(receive))
        done, _ = await asyncio.wait({task, watcher}, return_when=asyncio.FIRST_COMPLETED)
        if task not in done:
            task.cancel()
            self._history.record("cancelled", request_id=request.request_id)
        watcher.cancel()
        await asyncio.gather(task, watcher, return_exceptions=True)

    async def _generate(self, state, request, identity, send):
        await state.acquire(request.priority)
        try:
            self._history.record(
                "generate",
                request_id=request.request_id,
                attempt_id=request.attempt_id,
                engine=state.instance,
                endpoint=request.endpoint,
                arrived=request.arrived,
                first=request.first,
                group=state.group,
                epoch=state.epoch,
            )
            hit = state.touch_prefix(request.prompt)
            await asyncio.sleep(self._prefill_s * (0.25 if hit else 1.0))
            if request.stream:
                await self._stream(state, request, identity, send)
                return
            remaining = request.count - request.first
            await asyncio.sleep(remaining * self._token_interval_s * state.token_delay_factor)
            text = "".join(request.token(i) for i in range(request.count))
            await asgi.send_json(send, 200, request.whole(text), identity)
        finally:
            state.release()

    async def _stream(self, state, request, identity, send):
        start_headers = [(b"content-type", b"text/event-stream"), *identity]
        await send({"type": "http.response.start", "status": 200, "headers": start_headers})
        due = time.monotonic()
        for index in range(request.first, request.count):
            while state.stall or state.down:
                await asyncio.sleep(0.05)
            await send(
                {"type": "http.response.body", "body": request.event(index), "more_body": True}
            )
            due += self._token_interval_s * state.token_delay_factor
            await asyncio.sleep(max(0.0, due - time.monotonic()))
        await send({"type": "http.response.body", "body": b"data: [DONE]\n\n"})


class _CompletionRequest:
    """A decoded completion request; the same prompt always gives the same tokens."""

    def __init__(self, headers, body, is_chat):
        self.request_id = headers.get("x-request-id", "")
        self.attempt_id = headers.get("x-attempt-id", "")
        self.priority = int(headers.get("x-priority", "5"))
        self.first = int(headers.get("last-event-id", "-1")) + 1
        self.stream = bool(body.get("stream"))
        self.count = int(body.get("max_tokens") or DEFAULT_TOKENS)
        self.model = body.get("model", "")
        self._is_chat = is_chat
        self.prompt = json.dumps(body["messages"]) if is_chat else str(body["prompt"])
        self._digest = xxhash.xxh32(self.prompt).hexdigest()
        self.arrived = time.time()
        self.endpoint = None
        self._created = int(self.arrived)

    def token(self, index):
        return f"{self._digest}.{index} "

    def event(self, index):
        text = self.token(index)
        reason = "stop" if index == self.count - 1 else None
        choice = {"index": 0, "finish_reason": reason}
        if self._is_chat:
            choice["delta"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        kind = "chat.completion.chunk" if self._is_chat else "text_completion"
        document = self._document(kind, choice)
        return b"id: %d\ndata: %s\n\n" % (index, json.dumps(document).encode())

    def whole(self, text):
        choice = {"index": 0, "finish_reason": "stop"}
        if self._is_chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        kind = "chat.completion" if self._is_chat else "text_completion"
        return self._document(kind, choice)

    def _document(self, kind, choice):
        return {
            "id": f"cmpl-{self.request_id}",
            "object": kind,
            "created": self._created,
            "model": self.model,
            "choices": [choice],
        }


def make_states(ports, slots, queue_limit, cache_prefixes, checks_fencing_number):
    """Return engine states by port."""
    states = {}
    for port in ports:
        states[port] = engine_state.EngineState(
            slots, queue_limit, cache_prefixes, checks_fencing_number
        )
    return states


async def _wait_for_disconnect(receive):
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return


async def _break_connection(send):
    # The announced body never comes, so the server cuts the connection.
    headers = [(b"content-length", b"1000")]
    await send({"type": "http.response.start", "status": 503, "headers": headers})
