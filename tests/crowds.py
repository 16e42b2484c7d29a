"""Crowds of clients that exceed the limits of a node."""

import re
import selectors
import socket
import threading
import time

# Clients receive little, so that unread answers stay with the node.
RECEIVE_BUFFER_BYTES = 4096
DRIP_INTERVAL_S = 0.2
SEND_LIMIT_S = 20.0
POLL_INTERVAL_S = 0.05

HEAD = (
    b"POST /look/x HTTP/1.1\r\nHost: site.example\r\nX-Deadline-Ms: 8000\r\n"
    b"Authorization: Bearer secret-key\r\n"
)
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
MEGABYTE = 1 << 20
ANNOUNCED_BYTES = 15 * MEGABYTE
SENT_BYTES = 10 * MEGABYTE
ECHOED_BYTES = 900 << 10
LARGE_CHUNK = b"10000\r\n%b\r\n" % (b"x" * 65536)

# What each client of a kind sends, and what it repeats afterwards, slowly.
PARTS = {
    "large chunks": (CHUNKED + LARGE_CHUNK * 160, b""),
    "one-byte chunks": (CHUNKED + b"1\r\nx\r\n" * 200_000, b""),
    "stalled bodies": (
        HEAD + b"Content-Length: %d\r\n\r\n" % MEGABYTE + b"x" * (MEGABYTE - 1024),
        b"",
    ),
    "announced bodies": (
        HEAD + b"Content-Length: %d\r\n\r\n" % ANNOUNCED_BYTES + b"x" * SENT_BYTES,
        b"",
    ),
    "endless heads": (HEAD, b"X-More: a\r\n"),
    "silent": (b"", b""),
    "unread answers": (
        HEAD + b"Content-Length: %d\r\n\r\n" % ECHOED_BYTES + b"x" * ECHOED_BYTES,
        b"",
    ),
    "pipelined": (b"GET /x HTTP/1.1\r\n\r\n" * 4000, b""),
}
CROWDS = {
    "large chunks": {"large chunks": 40},
    "one-byte chunks": {"one-byte chunks": 100},
    "stalled bodies": {"stalled bodies": 300},
    "announced bodies": {"announced bodies": 40},
    "endless heads": {"endless heads": 1000},
    "silent": {"silent": 1400},
    "unread answers": {"unread answers": 200},
    "pipelined": {"pipelined": 200},
    "several kinds": {
        "large chunks": 20,
        "one-byte chunks": 20,
        "stalled bodies": 100,
        "announced bodies": 20,
        "endless heads": 40,
        "silent": 100,
        "unread answers": 40,
        "pipelined": 40,
    },
}


class Crowd:
    """Clients that send their parts and stay connected until the crowd is closed.

    Parameters
    ----------
    port : int
        Port of the listener on loopback.
    counts : dict of str to int
        Number of clients of each kind.
    """

    def __init__(self, port, counts):
        self._port = port
        self._is_closed = threading.Event()
        self._has_sent = threading.Event()
        kinds = []
        for kind, count in counts.items():
            kinds += [kind] * count
        self._kinds = kinds
        self._thread = threading.Thread(target=self._run)

    def __enter__(self):
        self._thread.start()
        self._has_sent.wait()
        return self

    def __exit__(self, *exc_info):
        self._is_closed.set()
        self._thread.join()

    def _run(self):
        selector = selectors.DefaultSelector()
        clients = []
        for kind in self._kinds:
            client = _Client(self._port, *PARTS[kind])
            clients.append(client)
            if client.is_open:
                selector.register(client.socket, selectors.EVENT_WRITE, client)
        end = time.monotonic() + SEND_LIMIT_S
        drip_at = 0.0
        while not self._is_closed.is_set():
            now = time.monotonic()
            if now >= drip_at:
                drip_at = now + DRIP_INTERVAL_S
                for client in clients:
                    client.drip()
            for key, _ in selector.select(POLL_INTERVAL_S):
                if not key.data.send():
                    selector.unregister(key.fileobj)
            if not selector.get_map() or now > end:
                self._has_sent.set()
                self._is_closed.wait(POLL_INTERVAL_S)
        for client in clients:
            client.socket.close()
        selector.close()


class _Client:
    """One client, which never reads."""

    def __init__(self, port, first, repeated):
        self._unsent = memoryview(first)
        self._repeated = repeated
        self.is_open = True
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.socket.settimeout(SEND_LIMIT_S)
        try:
            self.socket.connect(("127.0.0.1", port))
        except OSError:
            self.is_open = False
        self.socket.setblocking(False)

    def send(self):
        """Send what the socket takes; return whether there is more to send at once."""
        if self._unsent:
            try:
                sent = self.socket.send(self._unsent[:65536])
            except BlockingIOError:
                return True
            except OSError:
                self.is_open = False
                return False
            self._unsent = self._unsent[sent:]
        return bool(self._unsent)

    def drip(self):
        """Send the repeated part once."""
        if not self._repeated or self._unsent or not self.is_open:
            return
        try:
            self.socket.send(self._repeated)
        except BlockingIOError:
            return
        except OSError:
            self.is_open = False


def read_peak_mb(pid):
    """Return the largest resident size that a process has had; 0 if it has ended."""
    with open(f"/proc/{pid}/status") as status:
        match = re.search(r"VmHWM:\s+(\d+)", status.read())
    return 0.0 if match is None else int(match[1]) / 1024
