"""Ordinary callers on kept connections."""

import http.client
import threading
import time

HOST = "ficu95.example"
TIMEOUT_S = 6.0


class Caller(threading.Thread):
    """Sends one request after the other on a kept connection and records what comes back."""

    def __init__(self, number, port, method, path, key, pause_s, deadline_ms=4000):
        super().__init__(daemon=True)
        self.number = number
        self._port = port
        self._method = method
        self._path = path
        self._key = key
        self._pause_s = pause_s
        self._deadline_ms = deadline_ms
        self._is_stopped = threading.Event()
        # Request id, time of sending, number on its connection, time of the end, status or error,
        # and whether the connection ended without an answer.
        self.calls = []
        self.answers = {}

    def stop(self):
        self._is_stopped.set()

    def run(self):
        connection, used, count = None, 0, 0
        while not self._is_stopped.is_set():
            if connection is None:
                connection, used = (
                    http.client.HTTPConnection("127.0.0.1", self._port, timeout=TIMEOUT_S),
                    0,
                )
            count += 1
            used += 1
            request_id = f"c{self.number:03d}-{count:05d}"
            headers = {
                "Host": HOST,
                "X-Request-Id": request_id,
                "X-Deadline-Ms": str(self._deadline_ms),
                "Authorization": f"Bearer {self._key}",
            }
            body = b"b" * 600 if self._method == "POST" else None
            sent_at = time.monotonic()
            status, is_cut, seal, content = None, False, None, b""
            try:
                connection.request(self._method, self._path, body, headers)
                response = connection.getresponse()
                status, seal = response.status, response.headers.get("X-Response-Seal")
                content = response.read()
                if response.will_close:
                    connection.close()
                    connection = None
            except TimeoutError:
                status = "no answer in time"
            except (OSError, http.client.HTTPException) as e:
                status, is_cut = type(e).__name__, True
            if not isinstance(status, int):
                connection.close()
                connection = None
            self.calls.append((request_id, sent_at, used, time.monotonic(), status, is_cut))
            self.answers[request_id] = (seal, content)
            self._is_stopped.wait(self._pause_s if isinstance(status, int) else 0.3)
