"""Calls that a scenario sends in the background, recorded for the checker."""

import itertools
import threading
import time

import numpy
import urllib3

from lynxlanding_bench import caller, fleet

TIMEOUT_MS = 20_000


class BackgroundLoad:
    """Sends the calls of one ``load`` step at seeded times.

    Parameters
    ----------
    step : Load
        Kind, rate and duration.
    urls : list of str
        Base URLs of the nodes.
    recorder : Recorder
        Receives a record for each call and each answer.
    seed : int
        Seed of the arrival times.
    """

    def __init__(self, step, urls, recorder, seed):
        self._step = step
        self._urls = urls
        self._recorder = recorder
        self._random = numpy.random.default_rng(seed)
        self._pool = urllib3.PoolManager(maxsize=256)
        self._threads = []
        self._main = threading.Thread(target=self._send_all, daemon=True)
        self._numbers = itertools.count()

    def start(self):
        """Begin to send."""
        self._main.start()

    def join(self, timeout_s):
        """Wait for the end of all calls; return whether they have ended."""
        deadline = time.monotonic() + timeout_s
        self._main.join(timeout_s)
        if self._main.is_alive():
            return False
        for thread in self._threads:
            thread.join(max(0.0, deadline - time.monotonic()))
        return not any(thread.is_alive() for thread in self._threads)

    def _send_all(self):
        step = self._step
        nodes = step.nodes or range(len(self._urls))
        end = time.monotonic() + step.duration_s
        due = time.monotonic()
        for number in itertools.count():
            due += self._random.exponential(1.0 / step.rate_per_s)
            if due >= end:
                return
            time.sleep(max(0.0, due - time.monotonic()))
            node = nodes[number % len(nodes)]
            target = self._stream if step.kind == "streams" else self._book
            thread = threading.Thread(target=target, args=(number, node), daemon=True)
            thread.start()
            self._threads.append(thread)

    def _stream(self, number, node):
        identity = f"{self._step.name}-{number}"
        prompt = f"question {identity}"
        tokens = self._step.tokens
        self._record_call(identity, node, expected=caller.expected_text(prompt, tokens))
        outcome = self._caller(node).stream(prompt, tokens, _headers())
        # Whether the text is right is for the checker; here it only matters that it ended as
        # a whole answer.
        result = "whole" if outcome.result in (caller.WHOLE, caller.WRONG) else outcome.result
        self._recorder.record(
            "answer",
            id=identity,
            load=self._step.name,
            result=result,
            status=outcome.status,
            executed=outcome.executed,
            request_id=outcome.request_id,
            text=outcome.text,
            first_token_s=outcome.first_token_s,
        )

    def _book(self, number, node):
        reference = f"{self._step.name}-{number}"
        key = reference if self._step.kind == "bookings" else None
        for submission in range(1 + self._step.retry):
            index = (node + submission) % len(self._urls)
            if self._submit(f"{reference}-{submission}", reference, key, index) == "whole":
                return

    def _submit(self, identity, reference, key, node):
        self._record_call(identity, node, reference=reference, at_most_once=True)
        answer = {"result": "broken", "status": None, "executed": None, "request_id": None}
        try:
            status, executed, headers, document = self._caller(node).call_service(
                reference, key, _headers()
            )
            answer.update(status=status, executed=executed)
            answer["request_id"] = headers.get("X-Request-Id")
            answer["result"] = "whole" if status == 200 else "refused"
            if status == 200 and isinstance(document, dict):
                answer["reference"] = document.get("reference")
        except (urllib3.exceptions.HTTPError, OSError):
            pass
        self._recorder.record("answer", id=identity, load=self._step.name, **answer)
        return answer["result"]

    def _record_call(self, identity, node, **fields):
        self._recorder.record(
            "call",
            id=identity,
            load=self._step.name,
            kind=self._step.kind,
            node=f"node-{node}",
            **fields,
        )

    def _caller(self, node):
        return caller.Caller(self._urls[node], fleet.TOKENS["desk"], self._pool)


def _headers():
    return {"X-Request-Timeout-Ms": str(TIMEOUT_MS)}
