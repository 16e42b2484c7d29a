"""Callers of a day: open-loop load with seeded arrivals."""

import concurrent.futures
import random
import threading
import time

import xxhash

from lynxlanding_bench.site_day import day_record

# Threads that send requests. While all of them wait for responses, further requests are late.
MAX_CONCURRENT = 256
EVENTS = 12
# Share of the streams that have the bad part while one is in force.
BAD_SHARE = 0.15
# Kinds of requests and their shares of the load.
KINDS = {day_record.STREAM: 0.6, day_record.UNSAFE: 0.2, day_record.SAFE: 0.2}
_LINES = {
    day_record.UNSAFE: ("POST", "/book/x", b"booking"),
    day_record.SAFE: ("GET", "/look/x", None),
}


class DayLoad:
    """Sends requests to the nodes at random times; the same seed gives the same ones.

    Parameters
    ----------
    installation : CallingInstallation
        Site and nodes.
    per_s : float
        Mean number of requests a second.
    seed : int
        Seed of the arrivals.
    get_bad_part : callable
        Returns the part of prompts that crashes engines now, or None.
    """

    def __init__(self, installation, per_s, seed, get_bad_part):
        self._installation = installation
        self._per_s = per_s
        self._random_state = random.Random(seed)
        self._get_bad_part = get_bad_part
        self._executor = concurrent.futures.ThreadPoolExecutor(MAX_CONCURRENT)
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._responses = []
        self._late = 0

    @property
    def responses(self):
        """``Response``s so far."""
        return list(self._responses)

    @property
    def late(self):
        """Number of requests that were sent over 0.1 s late because of this process."""
        return self._late

    def start(self):
        """Start to send."""
        self._thread.start()

    def finish(self):
        """Stop to send, and wait for all responses."""
        self._stop.set()
        self._thread.join()
        self._executor.shutdown()

    def _run(self):
        due_at = time.monotonic()
        names = sorted(self._installation.nodes)
        number = 0
        while True:
            due_at += self._random_state.expovariate(self._per_s)
            node = self._random_state.choice(names)
            kind = self._random_state.choices(list(KINDS), list(KINDS.values()))[0]
            is_bad = self._random_state.random() < BAD_SHARE
            if self._stop.wait(max(0.0, due_at - time.monotonic())):
                return
            number += 1
            request_id = f"{node}-{kind}-{number}"
            self._executor.submit(self._call, due_at, node, kind, request_id, is_bad)

    def _call(self, due_at, node, kind, request_id, is_bad):
        sent_at = time.monotonic()
        self._late += sent_at - due_at > 0.1
        bad_part = self._get_bad_part() if is_bad and kind == day_record.STREAM else None
        if kind == day_record.STREAM:
            parts = ["c0:400", f"{xxhash.xxh64_hexdigest(request_id)}:300"]
            if bad_part is not None:
                parts.insert(1, f"{bad_part}:90")
            status, received, is_whole = self._installation.send_stream(
                node, request_id, EVENTS, {"X-Prompt-Prefix": ",".join(parts)}
            )
        else:
            method, path, body = _LINES[kind]
            status, received, _ = self._installation.send(node, method, path, request_id, body)
            is_whole = status == 200 and received.get("X-Response-Seal") == "seal"
        self._responses.append(
            day_record.Response(
                request_id,
                kind,
                node,
                sent_at,
                time.monotonic(),
                status,
                is_whole,
                received.get("Server-Limit") is not None,
                received.get("Server-Leaving") is not None,
                bad_part is not None,
            )
        )
