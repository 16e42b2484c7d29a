"""Steady requests from several threads, with what their callers saw."""

import threading
import time


class RequestLoad:
    """Sends short streams through each caller until it is stopped.

    Parameters
    ----------
    callers : list of Caller
        One thread for each.
    interval_s : float
        Pause between the requests of one thread.
    tokens : int
        Tokens of each stream.
    """

    def __init__(self, callers, interval_s=0.02, tokens=2):
        self._callers = callers
        self._interval_s = interval_s
        self._tokens = tokens
        self._stop = threading.Event()
        self._threads = []
        self._seen = []

    @property
    def seen(self):
        """Wall-clock time of sending and result of each request."""
        return self._seen

    def __enter__(self):
        for index, client in enumerate(self._callers):
            thread = threading.Thread(target=self._send, args=(index, client), daemon=True)
            thread.start()
            self._threads.append(thread)
        return self

    def __exit__(self, *exc_info):
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _send(self, index, client):
        number = 0
        while not self._stop.is_set():
            number += 1
            sent_at = time.time()
            outcome = client.stream(f"quote {index}.{number}", self._tokens)
            self._seen.append((sent_at, outcome.result))
            time.sleep(self._interval_s)
